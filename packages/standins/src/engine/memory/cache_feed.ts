import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import type {EngineConfig} from '../engine_config.js';
import type {CacheAnswer} from './cache_answer.js';
import type {CacheChange} from './cache_change.js';
import type {CacheEntry} from './cache_entry.js';

/** Older changes are dropped; a reader that is behind sees a gap. */
const MAX_ENTRIES = 20_000;

/** Cache events: numbered from 1, late, and with gaps. */
export interface CacheFeed {
  record(nowMs: number, changes: CacheChange[], random: RandomSource): void;
  /** Changes after a number, up to the next gap. */
  read(nowMs: number, after: number): CacheAnswer;
  /** The whole listing. */
  listing(hashes: string[]): CacheAnswer;
  sequence(): number;
}

/** Creates a feed without events. */
export function createCacheFeed(cfg: EngineConfig): CacheFeed {
  let entries: CacheEntry[] = [];
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
      entries.push({...change, sequence, visibleMs});
    }
    if (entries.length > 2 * MAX_ENTRIES) entries = entries.slice(-MAX_ENTRIES);
  }

  function read(nowMs: number, after: number): CacheAnswer {
    const latest = new Map<string, CacheChange['change']>();
    let first = after + 1;
    let last = after;
    for (const entry of entries) {
      if (entry.sequence <= after) continue;
      if (entry.visibleMs > nowMs) break;
      if (last === after) first = entry.sequence;
      else if (entry.sequence !== last + 1) break;
      last = entry.sequence;
      latest.set(entry.hash, entry.change);
    }
    const of = (change: CacheChange['change']): string[] =>
      [...latest].filter(item => item[1] === change).map(item => item[0]);
    return {
      incarnation: cfg.incarnation,
      firstSequence: first,
      lastSequence: last,
      full: false,
      added: of('added'),
      removed: of('removed'),
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
