import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endpointEntry} from '../mocks/gateway_parts.js';
import {createTestRandom} from '../mocks/step_harness.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {sampleEntries} from './sample_entries.js';

const NEAR = 'amman-1';

function entries(near: number, far: number): EndpointEntry[] {
  return Array.from({length: near + far}, (_, i) => {
    const failureDomain = i < near ? NEAR : 'amman-2';
    return endpointEntry({id: `e${i}`, failureDomain});
  });
}

// An engine that had just got its first stream was the best for all gateways
// of a large fleet, and got 13 more within 150 ms.
test('a part of the choices in a crowd does not see the best endpoint', () => {
  const random = createTestRandom(1);
  const samples = Array.from({length: 200}, () =>
    sampleEntries(entries(15, 30), NEAR, random),
  );
  const seen = (id: string) =>
    samples.filter(sample => sample.some(entry => entry.id === id)).length;
  assert.ok(samples.every(sample => new Set(sample).size === 12));
  assert.ok(seen('e0') > 75 && seen('e0') < 140, `${seen('e0')}`);
  assert.ok(seen('e40') > 10 && seen('e40') < 50, `${seen('e40')}`);
});

test('where few endpoints are near, more far ones are looked at', () => {
  const sample = sampleEntries(entries(2, 30), NEAR, createTestRandom(1));
  assert.equal(sample.length, 8);
});

test('few endpoints are looked at all but for half of the near ones', () => {
  const sample = sampleEntries(entries(4, 3), NEAR, createTestRandom(1));
  assert.equal(sample.filter(e => e.failureDomain === NEAR).length, 2);
  assert.equal(sample.length, 5);
});
