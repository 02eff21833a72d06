import type {QueueEntry} from './queue_entry.js';
import {RequestQueue} from './request_queue.js';

/** Baseline: each service in order of arrival. */
export class FifoQueue extends RequestQueue {
  private readonly waiting = new Map<string, QueueEntry>();

  override push(entry: QueueEntry): void {
    this.waiting.set(entry.reqId, entry);
  }

  override remove(reqId: string): void {
    this.waiting.delete(reqId);
  }

  override size(): number {
    return this.waiting.size;
  }

  override entries(): Iterable<QueueEntry> {
    return this.waiting.values();
  }

  override serve(
    _nowMs: number,
    tryStart: (entry: QueueEntry) => boolean,
  ): void {
    const blocked = new Set<string>();
    for (const entry of [...this.waiting.values()]) {
      if (blocked.has(entry.service)) continue;
      if (tryStart(entry)) this.waiting.delete(entry.reqId);
      else blocked.add(entry.service);
    }
  }
}
