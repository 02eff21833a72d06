import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from './actions/gateway_action.js';
import {
  callArrived,
  readyGateway,
  requestArrived,
  started,
} from '../mocks/gateway_harness.js';

const GRACE_MS = 8_000;
const NOTICE_MS = 3_000;
const LIMIT_MS = 7_300;
const TICK_MS = 25;
const STEP_MS = 200;

const FINAL = ['refuse', 'deliver_answer', 'end_stream', 'break_stream'];

const KINDS = [
  ['stream', requestArrived()],
  ['read', callArrived('/read/1')],
  ['write', callArrived('/write/1')],
] as const;

function finals(actions: GatewayAction[]): GatewayAction[] {
  return actions.filter(({kind}) => FINAL.includes(kind));
}

/** What became of a request that arrives some time after the stop began. */
function play(event: ReturnType<typeof requestArrived>, arrivesMs: number) {
  const cfg = {drainNoticeMs: NOTICE_MS, drainLimitMs: LIMIT_MS};
  const gateway = readyGateway({cfg});
  const startMs = gateway.nowMs();
  // An earlier request, which no engine answers, keeps the process.
  gateway.step(requestArrived({reqId: 'r0'}));
  gateway.step({kind: 'stop_requested'});
  let exitMs: number | undefined;
  const seen: {atMs: number; action: GatewayAction}[] = [];
  function note(actions: GatewayAction[]): void {
    const atMs = gateway.nowMs() - startMs;
    for (const action of finals(actions)) {
      if ('reqId' in action && action.reqId === event.reqId) {
        seen.push({atMs, action});
      }
    }
    if (actions.some(({kind}) => kind === 'exit')) exitMs ??= atMs;
  }
  while (gateway.nowMs() - startMs < arrivesMs) {
    note(gateway.step({kind: 'tick'}, TICK_MS));
  }
  if (exitMs !== undefined) return {exitMs, seen, sent: false};
  const arrived = gateway.step(event);
  note(arrived);
  const sent = started(arrived) !== undefined;
  while (exitMs === undefined && gateway.nowMs() - startMs < GRACE_MS) {
    note(gateway.step({kind: 'tick'}, TICK_MS));
  }
  return {exitMs, seen, sent};
}

// Requests that came late in the grace of a planned stop were passed on, and
// cut without an answer at its end.
for (const [what, event] of KINDS) {
  test(`LOST: a ${what} gets one final answer whenever in the grace it comes`, () => {
    for (let ms = 0; ms < GRACE_MS; ms += STEP_MS) {
      const {exitMs, seen, sent} = play(event, ms);
      assert.ok(exitMs !== undefined && exitMs < GRACE_MS, `at ${ms}`);
      if (ms >= exitMs) continue;
      assert.equal(seen.length, 1, `at ${ms}`);
      const {atMs, action} = seen[0]!;
      assert.ok(atMs <= exitMs);
      if (ms >= NOTICE_MS) {
        assert.equal(sent, false, `sent at ${ms}`);
        assert.ok(action.kind === 'refuse' && action.refusal === 'draining');
        assert.ok(atMs - ms <= TICK_MS, `refused ${atMs - ms} ms late`);
      } else assert.ok(sent, `not sent at ${ms}`);
    }
  });
}
