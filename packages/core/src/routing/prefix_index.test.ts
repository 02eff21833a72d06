import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEndpointDirectory} from '../endpoints/create_endpoint_directory.js';
import {endpointReport} from '../mocks/endpoint_report.js';
import {recordedContext} from '../mocks/router_context.js';
import {endpointRow} from '../mocks/rows.js';
import type {CacheEvents} from '../router/events/cache_events.js';
import {createPrefixCache} from './prefix_cache.js';
import {createPrefixIndex} from './prefix_index.js';

function cacheEvents(
  firstSequence: number,
  lastSequence: number,
  over: Partial<CacheEvents> = {},
): CacheEvents {
  return {
    kind: 'cache_events',
    endpoint: 'engine-1',
    incarnation: 'first',
    firstSequence,
    lastSequence,
    full: false,
    added: [],
    removed: [],
    ...over,
  };
}

const listing = {full: true, added: ['a', 'x']};
const CASES: [string, CacheEvents[], string, boolean][] = [
  ['changes in order', [cacheEvents(2, 2, {added: ['b']})], 'ab', false],
  ['a removal', [cacheEvents(2, 2, {removed: ['a']})], '', false],
  ['a repeated batch', [cacheEvents(1, 1, {added: ['z']})], 'a', false],
  ['a batch that overlaps', [cacheEvents(1, 3, {added: ['c']})], 'ac', false],
  ['a gap', [cacheEvents(5, 5, {added: ['c']})], 'c', true],
  [
    'late events after a gap',
    [cacheEvents(5, 5, {added: ['c']}), cacheEvents(2, 4, {added: ['b']})],
    'c',
    true,
  ],
  [
    'a listing from before the gap',
    [cacheEvents(5, 5), cacheEvents(3, 3, listing)],
    '',
    true,
  ],
  [
    'a listing older than later changes',
    [
      cacheEvents(5, 5),
      cacheEvents(6, 7, {added: ['d'], removed: ['x']}),
      cacheEvents(6, 6, listing),
    ],
    'ad',
    false,
  ],
  ['a new listing', [cacheEvents(9, 9, listing)], 'ax', false],
];

for (const [name, events, held, incomplete] of CASES) {
  test(`${name} leaves only entries that are known to be cached`, () => {
    const cache = createPrefixCache('first');
    cache.apply(cacheEvents(1, 1, {added: ['a']}));
    for (const event of events) cache.apply(event);
    const known = ['a', 'b', 'c', 'd', 'x', 'z'].filter(h => cache.has(h));
    assert.equal(known.join(''), held);
    assert.equal(cache.incomplete(), incomplete);
  });
}

test('memory stays bounded however many entries an engine announces', () => {
  const cache = createPrefixCache('first');
  for (let i = 1; i <= 100; i++) {
    const added = Array.from({length: 100}, (_, n) => `h-${i}-${n}`);
    cache.apply(cacheEvents(i, i, {added}));
  }
  assert.equal(cache.size(), 2_048);
  assert.ok(cache.has('h-100-99') && !cache.has('h-1-0'));
});

test('after a gap, the full listing is requested until it arrives', () => {
  const endpoints = createEndpointDirectory();
  endpoints.syncRows(recordedContext(), [endpointRow()]);
  const index = createPrefixIndex(endpoints);
  const reads = (nowMs: number, event: CacheEvents): number[] => {
    const ctx = recordedContext(nowMs);
    index.handlers.cache_events?.(ctx, event);
    return ctx.actions.flatMap(a => (a.kind === 'read_cache' ? a.after : []));
  };
  assert.deepEqual(reads(0, cacheEvents(1, 1, {added: ['a']})), []);
  assert.deepEqual(reads(1, cacheEvents(5, 5, {added: ['b']})), [-1]);
  assert.equal(index.cachedPrefix('engine-1', ['a']), 0);
  assert.deepEqual(reads(2, cacheEvents(6, 6)), []);
  assert.deepEqual(reads(1_500, cacheEvents(7, 7)), [-1]);
  const full = {full: true, added: ['a', 'b']};
  assert.deepEqual(reads(1_600, cacheEvents(7, 7, full)), []);
  assert.equal(index.cachedPrefix('engine-1', ['a', 'b', 'c']), 512);
});

test('the cache of an earlier incarnation does not count', () => {
  const endpoints = createEndpointDirectory();
  const ctx = recordedContext();
  endpoints.syncRows(ctx, [endpointRow()]);
  const index = createPrefixIndex(endpoints);
  index.handlers.cache_events?.(ctx, cacheEvents(1, 1, {added: ['a']}));
  const report = endpointReport({incarnation: 'second', cacheSequence: 4});
  endpoints.report(ctx, report);
  index.handlers.endpoint_report?.(ctx, report);
  index.handlers.cache_events?.(ctx, cacheEvents(2, 2, {added: ['b']}));
  assert.equal(index.size(), 0);
  endpoints.syncRows(ctx, []);
  index.prune();
  assert.equal(index.cachedPrefix('engine-1', ['a']), 0);
});
