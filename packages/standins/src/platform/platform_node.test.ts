import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPlatformHarness} from './mocks/platform_harness.js';
import type {PlatformAction} from './platform_action.js';

function answer(callId: string, status: number, body: Record<string, unknown>) {
  return {kind: 'answer', callId, status, body};
}

function statusOf(actions: PlatformAction[]): number {
  return actions[0]?.kind === 'answer' ? actions[0].status : 0;
}

test('offsets start at 0 and retention is by count and age', () => {
  const platform = createPlatformHarness();
  for (const data of ['a', 'b', 'c', 'd']) platform.append(data);
  const records = [
    {offset: 1, data: 'b'},
    {offset: 2, data: 'c'},
    {offset: 3, data: 'd'},
  ];
  const [read] = platform.read(0);
  assert.deepEqual(read, answer('r', 200, {earliest: 1, end: 4, records}));
  platform.step({kind: 'tick'}, 10_001);
  const [old] = platform.read(0);
  assert.deepEqual(old, answer('r', 200, {earliest: 4, end: 4, records: []}));
});

test('a long-poll read waits for a record or its time limit', () => {
  const platform = createPlatformHarness();
  assert.deepEqual(platform.read(0, 500), []);
  assert.equal(statusOf(platform.step({kind: 'tick'}, 500)), 200);
  assert.deepEqual(platform.read(0, 500), []);
  assert.equal(platform.append('a').length, 2);
});

test('an append whose response is lost takes effect', () => {
  const platform = createPlatformHarness();
  platform.faults({lostAppends: 1});
  assert.deepEqual(platform.append('a'), [{kind: 'close', callId: 'a'}]);
  const records = [{offset: 0, data: 'a'}];
  const [read] = platform.read(0);
  assert.deepEqual(read, answer('r', 200, {earliest: 0, end: 1, records}));
});

test('an append during an outage or over the rate has no effect', () => {
  const platform = createPlatformHarness({appendBurst: 1});
  platform.faults({outage: 1});
  assert.equal(statusOf(platform.append('a')), 503);
  platform.faults({outage: 0});
  assert.equal(statusOf(platform.append('b')), 200);
  assert.equal(statusOf(platform.append('c')), 429);
  platform.step({kind: 'tick'}, 100);
  assert.equal(statusOf(platform.append('d')), 200);
  const records = [
    {offset: 0, data: 'b'},
    {offset: 1, data: 'd'},
  ];
  const [read] = platform.read(0);
  assert.deepEqual(read, answer('r', 200, {earliest: 0, end: 2, records}));
});

test('an append takes effect before its delayed response', () => {
  const platform = createPlatformHarness();
  platform.faults({slow: 1, slowMs: 300});
  assert.deepEqual(platform.append('a'), []);
  assert.deepEqual(platform.step({kind: 'tick'}, 300), [
    answer('a', 200, {offset: 0}),
  ]);
});

test('VM list changes are delayed and weight loads rate-limited', () => {
  const platform = createPlatformHarness();
  const vm = {address: '127.0.0.1:7001', failureDomain: 'tunis-1'};
  const vms = [{...vm, state: 'leaving' as const}];
  platform.step({kind: 'vms_changed', callId: 'v', vms});
  const list = {kind: 'vms_asked', callId: 'l'} as const;
  assert.deepEqual(platform.step(list), [answer('l', 200, {vms: []})]);
  assert.deepEqual(platform.step(list, 500), [answer('l', 200, {vms})]);
  const load = {kind: 'weights_asked', callId: 'w', model: 'menu@1'} as const;
  assert.deepEqual(platform.step(load), []);
  assert.equal(statusOf(platform.step(load)), 429);
});
