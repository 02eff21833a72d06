// Guards against a second run, a false "not run" or another request's answer
// when endpoints write stale, doubled, late or foreign answers at any point of
// a connection. Plays the gateway's decisions on real sockets.
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import type {GatewayAction} from '@wisterialadder/core/gateway/actions/gateway_action.js';
import {
  readyGateway,
  requestArrived,
} from '@wisterialadder/core/mocks/gateway_harness.js';
import {
  callRoute,
  configuration,
  endpointEntry,
  streamRoute,
} from '@wisterialadder/core/mocks/gateway_parts.js';
import {scheduleCount} from '@wisterialadder/core/mocks/schedule_count.js';
import {createAttemptHarness} from '../mocks/attempts.js';
import {startRawEndpoint, type RawEndpoint} from '../mocks/raw_endpoint.js';

const SEED = 20_261_207;
const RUN_TIMEOUT_MS = 20_000;
const TICK_MS = 10;
const NOT_RUN = ['overloaded', 'not_ready', 'draining', 'timed_out_unrun'];
const ONCE = ['write', 'once'];
const ROUTES = [
  callRoute({maxAttempts: 2}),
  callRoute({name: 'read', prefix: '/read/', kind: 'idempotent'}),
  streamRoute({name: 'once', prefix: '/once/', resumable: false}),
  streamRoute(),
];

/** What an endpoint does with one request. */
interface Play {
  before: 'nothing' | 'last' | 'all' | 'foreign' | 'unnamed' | 'interim';
  then: 'refuse' | 'run' | 'fail' | 'close';
  after: 'nothing' | 'copy' | 'late copy';
  body: string;
}

interface Sent {
  route: 'write' | 'read' | 'once' | 'lookup';
  /** Callers may use an id again, or none. */
  callerId: string;
  /** Whether the next request follows before this one has ended. */
  overlaps: boolean;
}

const PLAY = fc.record<Play>({
  before: fc.constantFrom(
    ...(['nothing', 'last', 'all', 'foreign', 'unnamed', 'interim'] as const),
  ),
  then: fc.constantFrom('refuse', 'refuse', 'run', 'run', 'fail', 'close'),
  after: fc.constantFrom('nothing', 'copy', 'late copy'),
  body: fc.constantFrom('', 'no room'),
});

const SENT = fc.record<Sent>({
  route: fc.constantFrom('write', 'read', 'once', 'lookup'),
  callerId: fc.constantFrom('c1', 'c2', 'c3', ''),
  overlaps: fc.boolean(),
});

function answer(status: number, head: string, body: string): string {
  const length = `content-length: ${body.length}\r\n\r\n`;
  return `HTTP/1.1 ${status} X\r\n${head}${length}${body}`;
}

function refusal(callerId: string, body: string): string {
  const name = callerId === '' ? '' : `req-id: ${callerId}\r\n`;
  return answer(503, `${name}not-run: 1\r\n`, body);
}

function extra({before}: Play, earlier: string[]): string {
  switch (before) {
    case 'nothing':
      return '';
    case 'last':
      return earlier.at(-1) ?? '';
    case 'all':
      return earlier.join('');
    case 'foreign':
      return refusal('c9', '');
    case 'unnamed':
      // Without an earlier request it would be the answer to this one.
      return earlier.length > 0 ? refusal('', '') : '';
    case 'interim':
      return 'HTTP/1.1 102 X\r\n\r\n';
  }
}

/** Endpoints that play in turn, and the requests that they ran. */
function createEndpoints(plays: Play[]) {
  const runs: string[] = [];
  const earlierOn = new WeakMap<Socket, string[]>();
  let count = 0;

  function reply(socket: Socket, request: string): void {
    const callerId = /^req-id: (.*)\r$/m.exec(request)?.[1] ?? '';
    const reqId = /^run-id: (.*)\r$/m.exec(request)?.[1];
    // The body of a request may come by itself.
    if (reqId === undefined) return;
    const play = plays[count % plays.length]!;
    count += 1;
    const earlier = earlierOn.get(socket) ?? [];
    earlierOn.set(socket, earlier);
    const stale = extra(play, earlier);
    if (play.then !== 'refuse') runs.push(reqId);
    if (play.then === 'close') return void socket.end(stale);
    const own = ownAnswer(play, callerId, reqId, request.includes(' /read/'));
    earlier.push(own);
    socket.write(stale + own + (play.after === 'copy' ? own : ''));
    if (play.after === 'late copy') setTimeout(() => socket.write(own), 2);
  }

  return {runs, reply};
}

function ownAnswer(
  {then, body}: Play,
  callerId: string,
  reqId: string,
  isCall: boolean,
): string {
  if (then === 'refuse') return refusal(callerId, body);
  const name = `req-id: ${callerId}\r\n`;
  if (then === 'fail') return answer(500, name, reqId);
  if (isCall) return answer(200, name, reqId);
  const events = `id: 1\ndata: ${reqId} .\n\n`;
  return answer(200, `${name}content-type: text/event-stream\r\n`, events);
}

async function runSchedule(plays: Play[], all: Sent[]): Promise<void> {
  const endpoints = createEndpoints(plays);
  const servers: RawEndpoint[] = [
    await startRawEndpoint(endpoints.reply),
    await startRawEndpoint(endpoints.reply),
  ];
  const harness = createAttemptHarness();
  const gateway = readyGateway({
    configuration: configuration({routes: ROUTES}),
    entries: servers.flatMap(({address}, i) => [
      endpointEntry({id: `e${i}`, address}),
      endpointEntry({id: `s${i}`, address, service: 'register'}),
    ]),
  });
  const open = new Map<string, Sent>();
  let fed = 0;

  function deliver(reqId: string, content: string): void {
    assert.match(content, new RegExp(`\\b${reqId}\\b`), `${reqId}: ${content}`);
  }

  function perform(action: GatewayAction): void {
    switch (action.kind) {
      case 'start_attempt': {
        const endless = {notAfterMs: Number.POSITIVE_INFINITY};
        return harness.runner.start({...action, ...endless});
      }
      case 'cancel_attempt':
        return harness.runner.cancel(action);
      case 'deliver_piece':
        return deliver(action.reqId, Buffer.from(action.payload).toString());
      case 'deliver_answer': {
        const {answers} = harness.open.get(action.reqId)!;
        deliver(action.reqId, String(answers.get(action.attempt)?.body));
        return void open.delete(action.reqId);
      }
      case 'refuse': {
        const ran = endpoints.runs.includes(action.reqId);
        const once = ONCE.includes(open.get(action.reqId)!.route);
        if (once && NOT_RUN.includes(action.refusal))
          assert.ok(!ran, `${action.reqId} ran, refused: ${action.refusal}`);
        return void open.delete(action.reqId);
      }
      case 'end_stream':
      case 'break_stream':
        return void open.delete(action.reqId);
      default:
        return;
    }
  }

  /** Feeds what the runner reported, and the clock. */
  async function turn(): Promise<void> {
    await sleep(1);
    for (; fed < harness.events.length; fed++)
      gateway.step(harness.events[fed]!).forEach(perform);
    gateway.step({kind: 'tick'}, TICK_MS).forEach(perform);
  }

  try {
    for (const [i, sent] of all.entries()) {
      const reqId = `r${i}`;
      harness.request(reqId);
      const request = harness.open.get(reqId)!;
      request.callerId = sent.callerId;
      request.head.headers['req-id'] = sent.callerId;
      open.set(reqId, sent);
      const path = `/${sent.route}/1`;
      const digest = (): string => reqId;
      gateway.step(requestArrived({reqId, path, digest})).forEach(perform);
      while (open.size > (sent.overlaps ? 1 : 0)) await turn();
    }
    while (open.size > 0) await turn();
    for (const [i, {route}] of all.entries()) {
      const times = endpoints.runs.filter(ran => ran === `r${i}`).length;
      assert.ok(times <= (ONCE.includes(route) ? 1 : 2), `r${i} ran ${times}`);
    }
  } finally {
    await harness.runner.dispose();
    for (const server of servers) await server.close();
  }
}

test('no answer but its own decides about a request that may run once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(PLAY, {minLength: 2, maxLength: 12}),
      fc.array(SENT, {minLength: 2, maxLength: 12}),
      runSchedule,
    ),
    {numRuns: scheduleCount(), seed: SEED, timeout: RUN_TIMEOUT_MS},
  );
});
