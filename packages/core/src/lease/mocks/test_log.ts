import type {LogRead} from '../../router/events/log_read.js';
import type {LogRecord} from '../../types/log_record.js';
import type {LogStream} from '../../types/log_stream.js';

/** A log in memory that keeps the newest records of each stream. */
export interface TestLog {
  /** Returns the offset of the record. */
  append(stream: LogStream, data: string): number;
  read(stream: LogStream, from: number): LogRead;
}

/** Creates an empty log. */
export function createTestLog(retention = Infinity): TestLog {
  const streams = new Map<LogStream, LogRecord[]>();

  function all(stream: LogStream): LogRecord[] {
    const records = streams.get(stream) ?? [];
    streams.set(stream, records);
    return records;
  }

  return {
    append: (stream, data) =>
      all(stream).push({offset: all(stream).length, data}) - 1,
    read: (stream, from) => {
      const records = all(stream);
      const end = records.length;
      const earliest = Math.max(0, end - retention);
      const kept = records.slice(Math.max(from, earliest));
      return {kind: 'log_read', stream, from, earliest, end, records: kept};
    },
  };
}
