import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import {
  readyGateway,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {PEERS} from '../mocks/large_fleet.js';

const ENGINES = 20;

/** Number of endpoints that the newest choice considered. */
function candidateCount(actions: GatewayAction[]): number {
  const line = actions.find(
    action => action.kind === 'write_log' && action.event === 'WL8301',
  );
  assert.ok(line?.kind === 'write_log');
  return Number(/of (\d+)$/.exec(String(line.fields['reason']))?.[1]);
}

function routedTo(actions: GatewayAction[]): string {
  return started(actions)?.endpoint ?? '';
}

/** Largest number of eight short streams that one engine gets. */
function maxStreamsPerEngine(gateway: GatewayHarness): number {
  const taken = Array.from({length: 8}, (_, i) =>
    routedTo(gateway.step(requestArrived({reqId: `q${i}`}), 5)),
  );
  return Math.max(
    ...taken.map(id => taken.filter(other => other === id).length),
  );
}

function gatewayWithEngines() {
  const entries = Array.from({length: ENGINES}, (_, i) =>
    endpointEntry({id: `e${i + 1}`}),
  );
  return readyGateway({entries});
}

function gatewayOfLargeFleet() {
  const gateway = gatewayWithEngines();
  const members = PEERS.map(address => ({
    address,
    failureDomain: 'amman-2',
    incarnation: 1,
  }));
  gateway.step({kind: 'members_read', members});
  return gateway;
}

test('a single gateway considers all endpoints', () => {
  const gateway = gatewayWithEngines();
  assert.equal(candidateCount(gateway.step(requestArrived())), ENGINES);
});

// After a restart of all gateways, those that had no heartbeat of the others
// yet all chose the same endpoint. Sampling depends on the known members.
test('a gateway that knows of many others considers a sample', () => {
  const gateway = gatewayOfLargeFleet();
  assert.equal(candidateCount(gateway.step(requestArrived())), ENGINES / 2);
});

test('only a gateway that has just started spreads short streams', () => {
  const fresh = gatewayOfLargeFleet();
  const freshMax = maxStreamsPerEngine(fresh);
  const older = gatewayOfLargeFleet();
  older.step({kind: 'tick'}, 2_100);
  const olderMax = maxStreamsPerEngine(older);
  assert.ok(freshMax <= 2 && olderMax >= 3, `${freshMax} ${olderMax}`);
});
