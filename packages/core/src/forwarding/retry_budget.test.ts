import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createRetryBudget} from './retry_budget.js';

const CONFIG = {ratio: 0.2, extra: 102, windowMs: 10_000};

interface Step {
  gateway: number;
  pauseMs: number;
  retry: boolean;
}

const STEPS = fc.array(
  fc.record<Step>({
    gateway: fc.integer({min: 0, max: 6}),
    pauseMs: fc.integer({min: 0, max: 50}),
    retry: fc.boolean(),
  }),
  {maxLength: 800},
);

test('seven gateways together stay within the budget in every window', () => {
  fc.assert(
    fc.property(STEPS, steps => {
      const gateways = Array.from({length: 7}, () =>
        createRetryBudget(() => CONFIG),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      let nowMs = 0;
      for (const {gateway, pauseMs, retry} of steps) {
        nowMs += pauseMs;
        const retryBudget = gateways[gateway]!;
        if (!retry) {
          retryBudget.recordRequest(nowMs, 'engines');
          requests.push(nowMs);
        } else if (retryBudget.tryTake(nowMs, 'engines', 7)) {
          retries.push(nowMs);
        }
      }
      for (const endMs of retries) {
        const inWindow = (times: number[]): number =>
          times.filter(t => t > endMs - CONFIG.windowMs && t <= endMs).length;
        const bound = inWindow(requests) * CONFIG.ratio + CONFIG.extra;
        assert.ok(inWindow(retries) <= bound);
      }
    }),
    {seed: 1, numRuns: 200},
  );
});

test('gateways that all restart stay within the budget of the window', () => {
  const retries: number[] = [];
  for (const startMs of [0, 15_000]) {
    const gateways = Array.from({length: 7}, () =>
      createRetryBudget(() => CONFIG),
    );
    for (let nowMs = startMs; nowMs < startMs + 15_000; nowMs += 50) {
      for (const retryBudget of gateways) {
        if (retryBudget.tryTake(nowMs, 'engines', 7)) retries.push(nowMs);
      }
    }
  }
  for (const endMs of retries) {
    const sent = retries.filter(t => t > endMs - CONFIG.windowMs && t <= endMs);
    assert.ok(sent.length <= CONFIG.extra, `${sent.length} by ${endMs}`);
  }
});

test('retries are counted per service and expire with the window', () => {
  const retryBudget = createRetryBudget(() => ({...CONFIG, extra: 2.5}));
  const laterMs = CONFIG.windowMs;
  assert.ok(retryBudget.remaining(0, 'engines', 1) < 1);
  assert.ok(retryBudget.tryTake(laterMs, 'engines', 1));
  assert.ok(retryBudget.tryTake(laterMs, 'engines', 1));
  assert.ok(!retryBudget.tryTake(laterMs, 'engines', 1));
  assert.ok(retryBudget.tryTake(laterMs, 'register', 1));
  assert.ok(retryBudget.tryTake(2 * laterMs + 1, 'engines', 1));
});
