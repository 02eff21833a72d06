import assert from 'node:assert/strict';
import {test} from 'node:test';
import {routerContradictions} from './router_contradictions.js';

const DAY_MS = 86_400_000;

function faults(maxAgeMs: number): number {
  return routerContradictions({
    claims: {key_max_age: maxAgeMs, clock_tolerance: 60_000},
    platform: {url: 'http://127.0.0.1:1', log_retention: DAY_MS},
  }).length;
}

test('a key that outlives its claim on the log is refused at start', () => {
  assert.equal(faults(DAY_MS / 2), 0);
  assert.equal(faults(DAY_MS - 60_000), 1);
});
