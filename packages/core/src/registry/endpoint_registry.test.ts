import assert from 'node:assert/strict';
import {test} from 'node:test';
import {entryChange} from '../mocks/gateway_harness.js';
import {endpointEntry} from '../mocks/gateway_parts.js';
import type {EndpointEntry} from './endpoint_entry.js';
import {
  createEndpointRegistry,
  type EndpointRegistry,
} from './endpoint_registry.js';

function registryWith(entry: Partial<EndpointEntry> = {}): EndpointRegistry {
  const registry = createEndpointRegistry();
  registry.replaceAll(0, [entryChange(endpointEntry(entry))]);
  return registry;
}

function usable(registry: EndpointRegistry): string[] {
  return registry.usable('engines').map(({id}) => id);
}

test('a late record from before the notice does not bring a leaving endpoint back', () => {
  const registry = registryWith({sequence: 4});
  registry.apply(
    1,
    entryChange(endpointEntry({sequence: 6, state: 'leaving'})),
  );
  registry.apply(2, entryChange(endpointEntry({sequence: 5})));
  registry.apply(3, entryChange(endpointEntry({sequence: 7})));
  assert.deepEqual(usable(registry), []);
});

test('a late record does not bring a removed endpoint back, a new one does', () => {
  const registry = registryWith({sequence: 4});
  registry.apply(1, {id: 'e1', entry: undefined, unreadable: false});
  registry.apply(2, entryChange(endpointEntry({sequence: 4})));
  assert.deepEqual(usable(registry), []);
  registry.apply(3, entryChange(endpointEntry({sequence: 5})));
  assert.deepEqual(usable(registry), ['e1']);
});

test('an endpoint that starts again under its id is a new one', () => {
  const registry = registryWith({sequence: 90, state: 'leaving'});
  const reborn = endpointEntry({sequence: 1, startedAtMs: 2_000});
  registry.apply(1, entryChange(reborn));
  assert.deepEqual(usable(registry), ['e1']);
  registry.apply(2, entryChange(endpointEntry({sequence: 91})));
  assert.equal(registry.get('e1')?.entry.startedAtMs, 2_000);
});

test('an unreadable record harms its own endpoint only, until the next', () => {
  const registry = registryWith();
  registry.apply(1, entryChange(endpointEntry({id: 'e2'})));
  registry.apply(2, {id: 'e1', entry: undefined, unreadable: true});
  assert.deepEqual(usable(registry), ['e2']);
  registry.apply(3, entryChange(endpointEntry({sequence: 2})));
  assert.deepEqual(usable(registry).sort(), ['e1', 'e2']);
});

test('a store that has just come back may have forgotten living endpoints', () => {
  const registry = registryWith();
  registry.retainMissingUntil(2_000);
  registry.replaceAll(100, []);
  assert.deepEqual(usable(registry), ['e1']);
  assert.deepEqual(registry.expire(1_999), []);
  const gone = registry.expire(2_000).map(({id}) => id);
  assert.deepEqual(gone, ['e1']);
  assert.deepEqual(usable(registry), []);
});

test('a leaving endpoint is not forgiven when its record is dropped', () => {
  const registry = registryWith({state: 'leaving'});
  registry.retainMissingUntil(2_000);
  registry.replaceAll(100, []);
  assert.equal(registry.get('e1')?.state, 'gone');
});
