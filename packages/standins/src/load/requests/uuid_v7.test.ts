import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTestRandom} from '@wisterialadder/core/mocks/step_harness.js';
import {uuidV7} from './uuid_v7.js';

test('a key contains its time, version and variant', () => {
  const key = uuidV7(1_700_000_000_000, createTestRandom(1));
  assert.match(
    key,
    /^018bcfe5-6800-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/,
  );
});
