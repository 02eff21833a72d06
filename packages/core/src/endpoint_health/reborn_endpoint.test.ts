import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  readyGateway,
  registryRead,
  requestArrived,
  started,
} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

const REQUESTS = ['r1', 'r2', 'r3', 'r4', 'r5'];

test('an endpoint that starts again under its id is not held to be failing', () => {
  const gateway = readyGateway({entries: [endpointEntry({id: 'e1'})]});
  for (const reqId of REQUESTS) {
    assert.ok(started(gateway.step(requestArrived({reqId}))));
  }
  for (const reqId of REQUESTS) {
    const failure = 'disconnected';
    const empty = {detail: '', atFault: '', evidence: NO_EVIDENCE};
    const failed = {failure, ...empty} as const;
    gateway.step({kind: 'attempt_failed', reqId, attempt: 1, ...failed});
  }
  const reborn = endpointEntry({id: 'e1', startedAtMs: 9_000});
  gateway.step(registryRead([reborn, endpointEntry({id: 'e2'})], 20), 3_000);
  const endpoints = Array.from({length: 6}, (_, i) =>
    started(gateway.step(requestArrived({reqId: `n${i}`}))),
  );
  assert.ok(endpoints.some(attempt => attempt?.endpoint === 'e1'));
});
