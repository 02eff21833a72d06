import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import type {EngineConfig} from '../engine_config.js';
import type {CacheEventsResponse} from './cache_events_response.js';
import type {CacheChange} from './cache_change.js';
import type {CacheEvent} from './cache_event.js';

/** Older events are dropped; a reader that lags behind sees a gap. */
const MAX_EVENTS = 20_000;

/** Cache events numbered from 1, with simulated delay and loss. */
export interface CacheEventFeed {
  record(nowMs: number, changes: CacheChange[], random: RandomSource): void;
  /** Visible events after a sequence number, up to the next gap. */
  read(nowMs: number, after: number): CacheEventsResponse;
  /** Response that lists all cached blocks. */
  listing(hashes: string[]): CacheEventsResponse;
  sequence(): number;
}

/** Creates a feed without events. */
export function createCacheEventFeed(cfg: EngineConfig): CacheEventFeed {
  let events: CacheEvent[] = [];
  let sequence = 0;

  function record(
    nowMs: number,
    changes: CacheChange[],
    random: RandomSource,
  ): void {
    for (const change of changes) {
      sequence += 1;
      if (cfg.cacheEventLoss > 0 && random() < cfg.cacheEventLoss) continue;
      const visibleMs = nowMs + cfg.cacheEventDelayMs;
      events.push({...change, sequence, visibleMs});
    }
    if (events.length > 2 * MAX_EVENTS) events = events.slice(-MAX_EVENTS);
  }

  function read(nowMs: number, after: number): CacheEventsResponse {
    const latest = new Map<string, CacheChange['change']>();
    let first = after + 1;
    let last = after;
    for (const event of events) {
      if (event.sequence <= after) continue;
      if (event.visibleMs > nowMs) break;
      if (last === after) first = event.sequence;
      else if (event.sequence !== last + 1) break;
      last = event.sequence;
      latest.set(event.hash, event.change);
    }
    const hashesWith = (change: CacheChange['change']): string[] =>
      [...latest].filter(item => item[1] === change).map(item => item[0]);
    return {
      incarnation: cfg.incarnation,
      firstSequence: first,
      lastSequence: last,
      full: false,
      added: hashesWith('added'),
      removed: hashesWith('removed'),
    };
  }

  return {
    record,
    read,
    listing: hashes => ({
      incarnation: cfg.incarnation,
      firstSequence: 0,
      lastSequence: sequence,
      full: true,
      added: hashes,
      removed: [],
    }),
    sequence: () => sequence,
  };
}
