import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findConflictingSettings} from './router_conflicting_settings.js';

const DAY_MS = 86_400_000;

function faultCount(maxAgeMs: number): number {
  return findConflictingSettings({
    claims: {key_max_age: maxAgeMs, clock_tolerance: 60_000},
    platform: {url: 'http://127.0.0.1:1', log_retention: DAY_MS},
  }).length;
}

test('a maximum key age that outlasts the claims in the log is a fault', () => {
  assert.equal(faultCount(DAY_MS / 2), 0);
  assert.equal(faultCount(DAY_MS - 60_000), 1);
});
