import type {StreamEntry} from './stream_entry.js';

/** An entry that a recorder has not read back from the log yet. */
export interface PendingEntry {
  entry: StreamEntry;
  /** Routers that wait for the answer. */
  waiting: Set<string>;
  /** Whether an append that carries the entry is awaiting its result. */
  phase: 'queued' | 'sent';
  /** An append may have put the entry into the log. */
  maybeAppended: boolean;
  arrivedMs: number;
  /** Monotonic time after which nobody waits for the answer. */
  expiresMs: number;
}
