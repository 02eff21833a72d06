import assert from 'node:assert/strict';
import {test} from 'node:test';
import {routerConfig} from '../mocks/router_events.js';
import {uuidV7} from '../mocks/uuid_v7.js';
import {checkKey} from './check_key.js';

const WALL_MS = 1.7e12;
const CFG = routerConfig({keyMaxAgeMs: 60_000, clockToleranceMs: 1_000});
const FRESH = uuidV7(WALL_MS, 1);

const CASES: [string, string, string | undefined][] = [
  ['a new key', FRESH, undefined],
  ['a new key in upper case', FRESH.toUpperCase(), undefined],
  ['no key', '', 'key_missing'],
  ['a word', 'order-1', 'key_invalid'],
  ['a random UUID', FRESH.replace('-7000-', '-4000-'), 'key_invalid'],
  ['text after the key', `${FRESH}0`, 'key_invalid'],
  ['the maximum age', uuidV7(WALL_MS - 60_000, 1), undefined],
  ['more than the maximum age', uuidV7(WALL_MS - 60_001, 1), 'key_expired'],
  ['the maximum clock lead', uuidV7(WALL_MS + 1_000, 1), undefined],
  [
    'more than the maximum clock lead',
    uuidV7(WALL_MS + 1_001, 1),
    'key_invalid',
  ],
];

for (const [name, key, expected] of CASES) {
  test(`an idempotency key is validated by format and age: ${name}`, () => {
    const result = checkKey(CFG, key, WALL_MS);
    assert.equal(result.ok ? undefined : result.val, expected);
  });
}
