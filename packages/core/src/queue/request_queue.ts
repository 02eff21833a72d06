import type {QueueEntry} from './queue_entry.js';

/** Order in which waiting requests are served. */
export abstract class RequestQueue {
  abstract push(entry: QueueEntry): void;
  abstract remove(reqId: string): void;
  /** Number of waiting requests. */
  abstract size(): number;
  abstract entries(): Iterable<QueueEntry>;
  /**
   * Offers waiting requests in order; `tryStart` returns whether one was
   * started, which removes it from the queue.
   */
  abstract serve(nowMs: number, tryStart: (entry: QueueEntry) => boolean): void;

  /** Expected waiting time of a new entry; 0 where it is not estimated. */
  expectedWaitMs(_entry: QueueEntry, _nowMs: number): number {
    return 0;
  }
}
