import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBestRates} from './best_rates.js';

test('overhead of short prompts does not make long ones look hopeless', () => {
  const rates = createBestRates();
  rates.observe('coder', 1_000, 5);
  assert.equal(rates.rate('coder', 900_000), undefined);
  rates.observe('coder', 500_000, 40);
  assert.equal(rates.rate('coder', 900_000), 40);
  assert.equal(rates.rate('coder', 2_000), 5);
});

test('a service that has become slower is noticed', () => {
  const rates = createBestRates();
  rates.observe('coder', 2_000, 40);
  for (let i = 0; i < 200; i++) rates.observe('coder', 2_000, 10);
  assert.equal(rates.rate('coder', 2_000), 10);
});
