import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBestRates} from './best_rates.js';

test('rates of short prompts do not count for long ones', () => {
  const rates = createBestRates();
  rates.observe('coder', 1_000, 5);
  assert.equal(rates.rate('coder', 900_000), undefined);
  rates.observe('coder', 500_000, 40);
  assert.equal(rates.rate('coder', 900_000), 40);
  assert.equal(rates.rate('coder', 2_000), 5);
});

test('the best rate follows a service that becomes slower', () => {
  const rates = createBestRates();
  rates.observe('coder', 2_000, 40);
  for (let i = 0; i < 200; i++) rates.observe('coder', 2_000, 10);
  assert.equal(rates.rate('coder', 2_000), 10);
});
