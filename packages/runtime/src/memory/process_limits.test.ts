import assert from 'node:assert/strict';
import {test} from 'node:test';
import {processLimits} from './process_limits.js';

const MB = 1_048_576;

function limitsOf(totalMb: number, descriptors: number) {
  return processLimits({
    memory: {total: totalMb, process: 90, budget: 0, heads: 0},
    connections: {descriptors, callers: 0},
  });
}

// The smallest and the largest VM of the users.
for (const [totalMb, descriptors] of [
  [202, 2_069],
  [602, 8_192],
] as const) {
  test(`a VM of ${totalMb} MB has room for a large body, and for itself`, () => {
    const {budgetBytes, callerConnections} = limitsOf(totalMb, descriptors);
    assert.ok(budgetBytes > 12 * MB);
    // Garbage of 64 MiB may wait for its collection.
    assert.ok(70 * MB + budgetBytes + 64 * MB < totalMb * MB);
    assert.ok(callerConnections < descriptors - 500);
  });
}

test('without settings the operating system states the limits', () => {
  const {budgetBytes, callerConnections} = limitsOf(0, 0);
  assert.ok(budgetBytes > 0 && callerConnections > 0);
});
