import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {createTestRandom} from '../mocks/step_harness.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {sampleEntries} from './sample_entries.js';

const SAME_DOMAIN = 'amman-1';

function entries(sameDomain: number, otherDomain: number): EndpointEntry[] {
  return Array.from({length: sameDomain + otherDomain}, (_, i) => {
    const failureDomain = i < sameDomain ? SAME_DOMAIN : 'amman-2';
    return endpointEntry({id: `e${i}`, failureDomain});
  });
}

// An engine with one new stream was the best choice of all gateways of a large
// fleet and received 13 more streams within 150 ms.
test('some of the choices in a large fleet do not see the best endpoint', () => {
  const random = createTestRandom(1);
  const samples = Array.from({length: 200}, () =>
    sampleEntries(entries(15, 30), SAME_DOMAIN, random),
  );
  const seen = (id: string) =>
    samples.filter(sample => sample.some(entry => entry.id === id)).length;
  assert.ok(samples.every(sample => new Set(sample).size === 12));
  assert.ok(seen('e0') > 75 && seen('e0') < 140, `${seen('e0')}`);
  assert.ok(seen('e40') > 10 && seen('e40') < 50, `${seen('e40')}`);
});

test('few endpoints in the same domain are made up for by other domains', () => {
  const sample = sampleEntries(
    entries(2, 30),
    SAME_DOMAIN,
    createTestRandom(1),
  );
  assert.equal(sample.length, 8);
});

test('of few endpoints only half of the same domain is left out', () => {
  const sample = sampleEntries(entries(4, 3), SAME_DOMAIN, createTestRandom(1));
  assert.equal(sample.filter(e => e.failureDomain === SAME_DOMAIN).length, 2);
  assert.equal(sample.length, 5);
});
