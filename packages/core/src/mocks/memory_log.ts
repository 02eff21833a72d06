import type {LogRecord} from '../types/log_record.js';

interface StreamState {
  earliest: number;
  records: LogRecord[];
}

/** An append-only log in memory, without latency or faults of its own. */
export interface MemoryLog {
  append(stream: string, data: string): number;
  read(
    stream: string,
    from: number,
  ): {earliest: number; end: number; records: LogRecord[]};
  /** Drops all but the newest `keep` records, as retention does. */
  trim(stream: string, keep: number): void;
}

/** Creates a log without records. */
export function createMemoryLog(): MemoryLog {
  const streams = new Map<string, StreamState>();

  function stateOf(stream: string): StreamState {
    const state = streams.get(stream) ?? {earliest: 0, records: []};
    streams.set(stream, state);
    return state;
  }

  function endOf(state: StreamState): number {
    return state.earliest + state.records.length;
  }

  return {
    append: (stream, data) => {
      const state = stateOf(stream);
      const offset = endOf(state);
      state.records.push({offset, data});
      return offset;
    },
    read: (stream, from) => {
      const state = stateOf(stream);
      const {earliest} = state;
      const records = state.records.slice(Math.max(0, from - earliest));
      return {earliest, end: endOf(state), records};
    },
    trim: (stream, keep) => {
      const state = stateOf(stream);
      const drop = Math.max(0, state.records.length - keep);
      state.records.splice(0, drop);
      state.earliest += drop;
    },
  };
}
