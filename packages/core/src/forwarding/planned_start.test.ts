import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import {
  readyGateway,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {
  configuration,
  endpointEntry,
  streamRoute,
} from '../mocks/gateway_parts.js';
import {peerReceived, workNotice} from '../mocks/peer_parts.js';

const TARGET_MS = 1_700;
const ENGINES = Array.from({length: 8}, (_, i) => `e${i + 1}`);
/** Takes 1.3 s on all engines together. */
const FIRST = {reqId: 'r1', promptTokens: 300_000, remainingMs: 15_000};
/** Takes 0.2 s on all engines together. */
const SECOND = {reqId: 'r2', promptTokens: 100_000, remainingMs: 15_000};

function gatewayForLongPrompts(): GatewayHarness {
  const route = streamRoute({targetMs: TARGET_MS, targetGapMs: 1_000});
  return readyGateway({
    configuration: configuration({routes: [route]}),
    entries: ENGINES.map(id => endpointEntry({id})),
  });
}

/** Another gateway announces prefills of long prompts on all engines. */
function peerPrefillsEverywhere(gateway: GatewayHarness): void {
  const [main = '', ...helpers] = ENGINES;
  const prompt = {main, helpers, promptTokens: 300_000};
  const works = [1, 2, 3].map(work => workNotice({...prompt, work}));
  const update = {kind: 'work_update', passOn: false} as const;
  const changes = {started: works, writing: [], ended: []};
  gateway.step(peerReceived('10.0.0.2:7000', {...update, ...changes}));
}

/** Time until a request is started, by ticks; undefined if it never is. */
function startedAfterMs(gateway: GatewayHarness): number | undefined {
  for (let waitedMs = 25; waitedMs <= 15_000; waitedMs += 25) {
    if (started(gateway.step({kind: 'tick'}, 25))) return waitedMs;
  }
  return undefined;
}

function isPlanned(actions: GatewayAction[]): boolean {
  return actions.some(
    action => action.kind === 'write_log' && action.event === 'WL8305',
  );
}

test('a long prompt waits until the prefill of another one ends', () => {
  const gateway = gatewayForLongPrompts();
  assert.ok(started(gateway.step(requestArrived(FIRST))));
  const second = gateway.step(requestArrived(SECOND));
  assert.ok(isPlanned(second));
  const waitedMs = startedAfterMs(gateway);
  assert.ok(waitedMs && waitedMs > 1_000 && waitedMs < 1_500, `${waitedMs}`);
});

// A prompt that waits beyond its target misses it without any attempt.
test('a planned prompt is sent within its target though engines are busy', () => {
  const gateway = gatewayForLongPrompts();
  gateway.step(requestArrived(FIRST));
  assert.ok(isPlanned(gateway.step(requestArrived(SECOND))));
  peerPrefillsEverywhere(gateway);
  const waitedMs = startedAfterMs(gateway);
  assert.ok(waitedMs && waitedMs < TARGET_MS, `${waitedMs}`);
});
