import type {QueueEntry} from '../queue/queue_entry.js';

/** A short entry of class `lookup` that arrives at 0 with a 10 s timeout. */
export function queueEntry(over: Partial<QueueEntry> = {}): QueueEntry {
  return {
    reqId: 'req-1',
    customer: 'clerks',
    className: 'lookup',
    service: 'coder',
    promptTokens: 1_000,
    maxOutputTokens: 0,
    weight: 1,
    priority: 0,
    objective: 'first_token',
    arrivedMs: 0,
    deadlineMs: 10_000,
    ...over,
  };
}
