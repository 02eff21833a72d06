import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStepHarness} from '@wisterialadder/core/mocks/step_harness.js';
import {createServiceNode} from './service_node.js';
import type {CallArrived} from './service_event.js';

const CALL: CallArrived = {
  kind: 'call_arrived',
  callId: 'a',
  action: 'order_flour',
  reqId: 'req-1',
  idempotencyKey: 'key-1',
  bodyHash: 'hash',
};

test('a double run is counted even if neither call was answered', () => {
  const node = createServiceNode({
    incarnation: 'i1',
    latencyMs: 50,
    maxCalls: 2,
  });
  const harness = createStepHarness(node);
  const faults = {neverAnswer: 1};
  harness.step({kind: 'control_received', callId: 'x', faults});
  harness.step(CALL);
  harness.step({kind: 'client_gone', callId: 'a'}, 100);
  harness.step({...CALL, callId: 'b'});
  assert.deepEqual(harness.step({kind: 'tick'}, 1_000), []);
  assert.deepEqual(node.executions(), {'key-1': 2});
});

test('a refused call is not executed', () => {
  const node = createServiceNode({
    incarnation: 'i1',
    latencyMs: 50,
    maxCalls: 1,
  });
  const harness = createStepHarness(node);
  harness.step(CALL);
  const refused = harness.step({...CALL, callId: 'b', idempotencyKey: 'key-2'});
  assert.deepEqual(refused, [{kind: 'refuse', callId: 'b', code: 'full'}]);
  const [answer] = harness.step({kind: 'tick'}, 60);
  assert.equal(answer?.kind, 'answer');
  assert.deepEqual(node.executions(), {'key-1': 1});
});
