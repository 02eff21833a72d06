import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  attemptFailed,
  piece,
  readyGateway,
  refusal,
  registryRead,
  requestArrived,
  started,
  type GatewayHarness,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';

const ONE_ENGINE = [endpointEntry({id: 'e1'})];

function leaves(gateway: GatewayHarness, id: string): void {
  gateway.step(
    registryRead([endpointEntry({id, state: 'leaving', sequence: 2})], 20),
  );
}

test('a request waits for room and goes to the engine that joins', () => {
  const gateway = readyGateway({entries: []});
  const actions = gateway.step(requestArrived());
  assert.equal(refusal(actions), undefined);
  const lines = actions.filter(
    action => action.kind === 'write_log' && action.event === 'WL8306',
  );
  assert.equal(lines.length, 1);
  gateway.step(registryRead(ONE_ENGINE, 20), 10);
  const waiting = gateway.step({kind: 'tick'}, 50);
  assert.equal(started(waiting)?.endpoint, 'e1');
});

test('a request that finds no room is refused soon, as not run', () => {
  const gateway = readyGateway({entries: []});
  gateway.step(requestArrived());
  let refused: string | undefined;
  for (let waitedMs = 0; waitedMs < 200 && !refused; waitedMs += 25) {
    refused = refusal(gateway.step({kind: 'tick'}, 25));
  }
  assert.equal(refused, 'overloaded');
});

test('a stream that has begun waits for an engine instead of breaking', () => {
  const gateway = readyGateway({entries: ONE_ENGINE});
  gateway.step(requestArrived());
  gateway.step(piece(1), 100);
  leaves(gateway, 'e1');
  const broken = gateway.step(attemptFailed('broken'), 20);
  assert.equal(started(broken), undefined);
  assert.ok(!broken.some(({kind}) => kind === 'break_stream'));
  gateway.step(registryRead([endpointEntry({id: 'e2'})], 30), 500);
  const resumed = started(gateway.step({kind: 'tick'}, 50));
  assert.equal(resumed?.endpoint, 'e2');
  assert.equal(resumed?.resumeAfter, 1);
});
