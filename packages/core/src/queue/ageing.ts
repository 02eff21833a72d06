import type {Objective} from '../types/objective.js';
import type {QueueEntry} from './queue_entry.js';

/**
 * Share of its timeout after which a request has priority 0. Requests with the
 * completion objective age fastest, since their prompts need the most time.
 */
const AGEING_SHARE: Record<Objective, number> = {
  completion: 0.15,
  first_token: 0.25,
  short_slowdown: 0.4,
};

/** Waiting time in milliseconds after which a request has priority 0. */
export function ageingMs(entry: QueueEntry): number {
  const timeoutMs = entry.deadlineMs - entry.arrivedMs;
  return timeoutMs * AGEING_SHARE[entry.objective];
}

/** Priority after ageing: falls linearly from the class's to 0. */
export function agedPriority(entry: QueueEntry, nowMs: number): number {
  const span = ageingMs(entry);
  const left = span - (nowMs - entry.arrivedMs);
  if (left <= 0) return 0;
  return Math.min(entry.priority, Math.ceil((entry.priority * left) / span));
}
