import type {LogBatch} from '@wisterialadder/runtime/platform/log_batch.js';
import type {PlatformConfig} from '../platform_config.js';
import type {StoredRecord} from './stored_record.js';

const MAX_RECORDS_PER_READ = 1_000;
const MAX_CHARACTERS_PER_READ = 4 * 1_024 * 1_024;

/** An append-only stream with limited retention. */
export interface StoredStream {
  /** Returns the offset of the new record. */
  append(nowMs: number, data: string): number;
  /** Reads from an offset, or from the earliest record if it was trimmed. */
  read(nowMs: number, from: number): LogBatch;
}

/** Retention limits of a stream, by record count and age. */
export type Retention = Pick<
  PlatformConfig,
  'retentionMs' | 'retentionRecords'
>;

/** Creates an empty stream. */
export function createStoredStream(cfg: Retention): StoredStream {
  let records: StoredRecord[] = [];
  let earliest = 0;

  function trim(nowMs: number): void {
    const oldestMs = nowMs - cfg.retentionMs;
    let expired = Math.max(0, records.length - cfg.retentionRecords);
    while ((records[expired]?.appendedMs ?? oldestMs) < oldestMs) expired += 1;
    if (expired === 0) return;
    records = records.slice(expired);
    earliest += expired;
  }

  function readBatch(first: number): LogBatch['records'] {
    const batch: LogBatch['records'] = [];
    let characters = 0;
    for (const [i, {data}] of records.slice(first - earliest).entries()) {
      characters += data.length;
      const full = i >= MAX_RECORDS_PER_READ;
      if (full || (i > 0 && characters > MAX_CHARACTERS_PER_READ)) break;
      batch.push({offset: first + i, data});
    }
    return batch;
  }

  return {
    append: (nowMs, data) => {
      records.push({data, appendedMs: nowMs});
      trim(nowMs);
      return earliest + records.length - 1;
    },
    read: (nowMs, from) => {
      trim(nowMs);
      const end = earliest + records.length;
      return {earliest, end, records: readBatch(Math.max(from, earliest))};
    },
  };
}
