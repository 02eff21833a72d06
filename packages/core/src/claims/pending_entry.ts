import type {StreamEntry} from './stream_entry.js';

/** An entry that a recorder has not read back from the log yet. */
export interface PendingEntry {
  entry: StreamEntry;
  /** Addresses of the routers that wait for the answer. */
  waiting: Set<string>;
  /** Whether an append that carries the entry is awaiting its result. */
  phase: 'queued' | 'sent';
  /** Whether an append may have written the entry to the log. */
  maybeAppended: boolean;
  arrivedMs: number;
  /** Monotonic time after which no router waits for the answer. */
  expiresMs: number;
}
