// Guards against answers of an earlier attempt, or of no known one, that count
// as the answer to an attempt and so as proof that it has not run.
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';
import type {CallerReply} from '../caller/caller_reply.js';
import {createAttemptRunner} from './attempt_runner.js';

interface Fixture {
  /** Plays one attempt of the request `r1`; returns how it ended. */
  play(attempt: number): Promise<string>;
}

/** A runner and a service that answers with raw bytes. */
async function fixture(
  t: TestContext,
  reply: (socket: Socket, attempt: number) => void,
): Promise<Fixture> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      const attempt = /wl-attempt: (\d+)/.exec(bytes.toString())?.[1];
      if (attempt !== undefined) reply(socket, Number(attempt));
    });
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  let settle: (outcome: string) => void = () => undefined;
  const open = {
    reply: {} as CallerReply,
    body: Buffer.from('{}'),
    action: 'write',
    idempotencyKey: 'k1',
  };
  const runner = createAttemptRunner({
    openRequests: new Map([['r1', open]]),
    owner: 'owner',
    push: (event: RouterEvent) => {
      if (event.kind === 'attempt_failed') settle(event.failure);
      if (event.kind === 'attempt_ended') settle('ended');
    },
  });
  t.after(async () => {
    server.close();
    await runner.dispose();
  });
  return {
    play: attempt =>
      new Promise(resolve => {
        settle = resolve;
        runner.start({
          kind: 'start_attempt',
          reqId: 'r1',
          attempt,
          endpoint: 's1',
          endpointKind: 'service',
          url: `http://127.0.0.1:${port}`,
          service: 'register',
          resumeFrom: 0,
          priority: 5,
          timeoutMs: 1_000,
          notAfterMs: Number.POSITIVE_INFINITY,
          reservations: [],
        });
      }),
  };
}

function answer(status: number, names: string): string {
  const notRun = status === 503 ? 'wl-not-run: true\r\n' : '';
  return `HTTP/1.1 ${status} X\r\n${names}${notRun}content-length: 0\r\n\r\n`;
}

function names(attempt: number, reqId = 'r1'): string {
  return `wl-request-id: ${reqId}\r\nwl-attempt: ${attempt}\r\n`;
}

test('a copy of an earlier refusal does not refuse the next attempt', async t => {
  const {play} = await fixture(t, (socket, attempt) => {
    socket.write(answer(503, names(1)));
    if (attempt === 2) socket.write(answer(200, names(2)));
  });
  assert.equal(await play(1), 'said_not_run');
  assert.equal(await play(2), 'broken');
});

for (const [what, named, status, expected] of [
  ['refusal that names its attempt', names(1), 503, 'said_not_run'],
  ['answer that names its attempt', names(1), 200, 'ended'],
  ['refusal of another request', names(1, 'r0'), 503, 'broken'],
  ['refusal without a name', '', 503, 'broken'],
  ['answer without a name', '', 200, 'broken'],
  ['refusal without an attempt', 'wl-request-id: r1\r\n', 503, 'broken'],
] as const) {
  test(`a ${what} counts as ${expected}`, async t => {
    const {play} = await fixture(t, socket =>
      socket.write(answer(status, named)),
    );
    assert.equal(await play(1), expected);
  });
}
