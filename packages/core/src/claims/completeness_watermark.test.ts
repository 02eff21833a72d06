import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCompletenessWatermark} from './completeness_watermark.js';

const TOLERANCE_MS = 100;

/** Batches, as base and wall clock, read from a stream trimmed below 10. */
const CASES: [string, [number, number][], number, boolean][] = [
  ['nothing retained', [], 9_999, false],
  ['a key within twice the tolerance', [[10, 1_000]], 1_200, false],
  ['a newer key', [[10, 1_000]], 1_201, true],
  ['a batch delayed from before the start', [[9, 1_000]], 9_999, false],
  [
    'a key older than the batch after a delayed one',
    [
      [9, 1_000],
      [11, 2_000],
    ],
    1_500,
    false,
  ],
];

for (const [name, batches, keyTimeMs, covered] of CASES) {
  test(`a key whose claims may be trimmed is not covered: ${name}`, () => {
    const watermark = createCompletenessWatermark(TOLERANCE_MS);
    watermark.trimmed(10);
    for (const [base, wallMs] of batches) watermark.batchRead(base, wallMs);
    assert.equal(watermark.covers(keyTimeMs), covered);
  });
}
