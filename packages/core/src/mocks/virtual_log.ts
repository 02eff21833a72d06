import type {LogRecord} from '../types/log_record.js';

const BATCH_RECORDS = 4;

/** A stream of the platform's log on a virtual clock. */
export interface VirtualLog {
  /** Appends whether or not readers can reach the log. */
  append(data: string, nowMs: number): number;
  /** Oldest offset that is younger than the retention period. */
  earliest(nowMs: number): number;
  end(): number;
  /** One batch from an offset, or from the earliest if that is larger. */
  read(from: number, nowMs: number): LogRecord[];
  /** Every record that is retained. */
  retained(nowMs: number): LogRecord[];
}

/** Creates an empty stream. */
export function createVirtualLog(retentionMs: number): VirtualLog {
  const records: (LogRecord & {atMs: number})[] = [];

  function earliest(nowMs: number): number {
    const first = records.find(record => record.atMs + retentionMs > nowMs);
    return first?.offset ?? records.length;
  }

  function read(from: number, nowMs: number): LogRecord[] {
    const first = Math.max(from, earliest(nowMs));
    return records
      .slice(first, first + BATCH_RECORDS)
      .map(({offset, data}) => ({offset, data}));
  }

  return {
    append: (data, nowMs) => {
      records.push({offset: records.length, data, atMs: nowMs});
      return records.length - 1;
    },
    earliest,
    end: () => records.length,
    read,
    retained: nowMs => records.slice(earliest(nowMs)),
  };
}
