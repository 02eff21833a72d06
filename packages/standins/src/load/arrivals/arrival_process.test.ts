import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTestRandom} from '@wisterialadder/core/mocks/step_harness.js';
import {mix} from '../mocks/mix.js';
import {createArrivalProcess} from './arrival_process.js';

test('the arrival rate follows the mix and its bursts', () => {
  const burst = {periodMs: 10_000, lengthMs: 2_000, factor: 5};
  const arrivals = createArrivalProcess(mix({requestsPerSecond: 100, burst}));
  const random = createTestRandom(3);
  let inBurst = 0;
  let outside = 0;
  for (let ms = 10; ms <= 100_000; ms += 10) {
    const due = arrivals.countUntil(ms, random);
    if ((ms - 5) % 10_000 < 2_000) inBurst += due;
    else outside += due;
  }
  // 20 s of bursts at 500 requests/s and 80 s at 100 requests/s.
  assert.ok(Math.abs(inBurst - 10_000) < 400, String(inBurst));
  assert.ok(Math.abs(outside - 8_000) < 400, String(outside));
});
