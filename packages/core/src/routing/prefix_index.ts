import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {CacheEvents} from '../router/events/cache_events.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {CachedPrefix} from './cached_prefix.js';
import {createPrefixCache, type PrefixCache} from './prefix_cache.js';
import {createReadRateLimiter} from './read_rate_limiter.js';

/** Tokens of one block of the prompt. */
const BLOCK_TOKENS = 256;

/** Index of the prefixes that engines cache, from their cache events. */
export interface PrefixIndex extends RouterFeature {
  readonly cachedPrefix: CachedPrefix;
  /** Removes endpoints that are not in the table. */
  prune(): void;
  /** Entries over all endpoints. */
  size(): number;
}

/** Creates an empty index. */
export function createPrefixIndex(endpoints: EndpointDirectory): PrefixIndex {
  const caches = new Map<string, PrefixCache>();
  const readLimiter = createReadRateLimiter();

  function cacheEvents(ctx: RouterContext, event: CacheEvents): void {
    const view = endpoints.get(event.endpoint);
    if (!view) return;
    // The report names the running incarnation; events of any other are late
    // and of one that has ended.
    const running = view.report?.incarnation ?? event.incarnation;
    if (event.incarnation !== running) return;
    const cache = cacheOf(event.endpoint, running);
    const verdict = cache.apply(event);
    if (verdict === 'gap') {
      ctx.emit({
        kind: 'write_log',
        event: 'WL5101',
        fields: {endpoint: event.endpoint, from: event.firstSequence},
      });
    }
    if (verdict === 'gap' || (event.full && cache.incomplete())) {
      readLimiter.forget(event.endpoint);
    }
    if (cache.incomplete()) read(ctx, event.endpoint, -1);
  }

  function report(ctx: RouterContext, event: EndpointReport): void {
    if (!endpoints.get(event.endpoint) || event.cacheSequence === 0) return;
    const cache = cacheOf(event.endpoint, event.incarnation);
    if (cache.incomplete()) read(ctx, event.endpoint, -1);
    else if (event.cacheSequence > cache.sequence()) {
      read(ctx, event.endpoint, cache.sequence());
    }
  }

  function cacheOf(endpoint: string, incarnation: string): PrefixCache {
    const known = caches.get(endpoint);
    if (known?.incarnation === incarnation) return known;
    const fresh = createPrefixCache(incarnation);
    caches.set(endpoint, fresh);
    return fresh;
  }

  function read(ctx: RouterContext, endpoint: string, after: number): void {
    const view = endpoints.get(endpoint);
    if (!view || !readLimiter.tryTake(endpoint, ctx.nowMs)) return;
    ctx.emit({kind: 'read_cache', endpoint, url: view.row.url, after});
  }

  /** Searches by halves, as engines evict blocks from the end of a prefix. */
  function cachedPrefix(endpoint: string, prefixHashes: string[]): number {
    const cache = caches.get(endpoint);
    if (!cache || cache.size() === 0) return 0;
    let cachedBlocks = 0;
    let firstMissing = prefixHashes.length;
    while (cachedBlocks < firstMissing) {
      const middle = (cachedBlocks + firstMissing) >> 1;
      if (cache.has(prefixHashes[middle]!)) cachedBlocks = middle + 1;
      else firstMissing = middle;
    }
    return cachedBlocks * BLOCK_TOKENS;
  }

  function prune(): void {
    for (const name of [...caches.keys()]) {
      if (endpoints.get(name)) continue;
      caches.delete(name);
      readLimiter.forget(name);
    }
  }

  return {
    handlers: {cache_events: cacheEvents, endpoint_report: report},
    cachedPrefix,
    prune,
    size: () =>
      [...caches.values()].reduce((sum, cache) => sum + cache.size(), 0),
  };
}
