import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTokenBucket} from './token_bucket.js';

test('an idle bucket holds at most one burst', () => {
  const bucket = createTokenBucket(0, 10);
  bucket.refill(60_000, 10);
  assert.equal(bucket.level(), 10);
});

test('a cost larger than the burst is paid off at the rate', () => {
  const bucket = createTokenBucket(0, 10);
  bucket.take(50);
  bucket.refill(4_000, 10);
  assert.equal(bucket.level(), 0);
});

test('a lower rate reduces the level to its own burst', () => {
  const bucket = createTokenBucket(0, 10);
  bucket.refill(1, 2);
  assert.equal(bucket.level(), 2);
});
