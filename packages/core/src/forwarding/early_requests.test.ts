import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  configurationRead,
  refusal,
  registryRead,
  requestArrived,
  started,
  startedGateway,
} from '../mocks/gateway_harness.js';
import {configuration, endpointEntry} from '../mocks/gateway_parts.js';

test('a request right after the start waits for the first configuration', () => {
  const gateway = startedGateway();
  const early = gateway.step(requestArrived({remainingMs: 5_000}));
  assert.equal(refusal(early), undefined);
  gateway.step(configurationRead(configuration()), 100);
  gateway.step(registryRead([endpointEntry()]), 20);
  const attempt = started(gateway.step({kind: 'tick'}, 5));
  assert.equal(attempt?.endpoint, 'e1');
  assert.equal(attempt?.remainingMs, 4_875);
});

test('a request is refused as not run if no configuration is read', () => {
  const gateway = startedGateway();
  gateway.step(requestArrived());
  assert.equal(refusal(gateway.step({kind: 'tick'}, 390)), undefined);
  assert.equal(refusal(gateway.step({kind: 'tick'}, 10)), 'not_ready');
});

test('a waiting request whose caller leaves is never sent', () => {
  const gateway = startedGateway();
  gateway.step(requestArrived());
  gateway.step({kind: 'caller_left', reqId: 'r1'}, 20);
  gateway.step(configurationRead(configuration()), 20);
  gateway.step(registryRead([endpointEntry()]), 20);
  assert.equal(started(gateway.step({kind: 'tick'}, 500)), undefined);
});
