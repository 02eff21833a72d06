import type {Work} from '../fleet/work.js';

/** Window in which requests to an endpoint are counted against its limit. */
export const LIMIT_WINDOW_MS = 4_000;
/** Starts are kept until the end of the window before is known, too. */
const RETENTION_MS = 2 * LIMIT_WINDOW_MS;
/** Pause between two removals of old requests. */
const PRUNE_INTERVAL_MS = 1_000;
/**
 * Orders to a helper that stores a part of a prompt: to reserve memory and to
 * release it. Others hear of the prompt from its engine only.
 */
const ORDERS_PER_STORING_HELPER = 2;

/** What all gateways sent to endpoints lately, as far as this one knows. */
export interface RecentStarts {
  /** Counts a request once, however often it is heard of. */
  add(work: Work): void;
  /** Steady clock, oldest first; times of the requests to an endpoint. */
  times(endpoint: string): readonly number[];
  /** Requests of this gateway to an endpoint since a time. */
  ownSince(endpoint: string, sinceMs: number): number;
}

type StartTimes = Map<string, number[]>;

/**
 * Creates a count without requests.
 * @param self peer address of this gateway
 */
export function createRecentStarts(self: string): RecentStarts {
  const all: StartTimes = new Map();
  const own: StartTimes = new Map();
  /** Start of each counted request, by member and number. */
  const counted = new Map<string, number>();
  let prunedMs = Number.NEGATIVE_INFINITY;

  function add(work: Work): void {
    const {startedMs, main, helpers} = work;
    const key = `${work.member}/${work.id}`;
    const known = counted.get(key);
    // A gateway that starts again counts its work anew.
    const isSame = known !== undefined && startedMs - known < LIMIT_WINDOW_MS;
    if (isSame) return;
    counted.set(key, startedMs);
    if (startedMs - prunedMs >= PRUNE_INTERVAL_MS) prune(startedMs);
    for (const starts of work.member === self ? [all, own] : [all]) {
      insert(starts, main, startedMs, 1);
      if (!work.sharded) continue;
      for (const helper of helpers) {
        insert(starts, helper, startedMs, ORDERS_PER_STORING_HELPER);
      }
    }
  }

  function insert(
    starts: StartTimes,
    endpoint: string,
    atMs: number,
    count: number,
  ): void {
    const times = starts.get(endpoint) ?? [];
    starts.set(endpoint, times);
    let index = times.length;
    while (index > 0 && times[index - 1]! > atMs) index -= 1;
    for (let i = 0; i < count; i++) times.splice(index, 0, atMs);
  }

  function prune(nowMs: number): void {
    prunedMs = nowMs;
    const limitMs = nowMs - RETENTION_MS;
    for (const starts of [all, own]) pruneTimes(starts, limitMs);
    for (const [key, startedMs] of counted) {
      if (startedMs < limitMs) counted.delete(key);
    }
  }

  function pruneTimes(starts: StartTimes, limitMs: number): void {
    for (const [endpoint, times] of starts) {
      const first = times.findIndex(atMs => atMs >= limitMs);
      if (first < 0) starts.delete(endpoint);
      else times.splice(0, first);
    }
  }

  return {
    add,
    times: endpoint => all.get(endpoint) ?? [],
    ownSince: (endpoint, sinceMs) =>
      (own.get(endpoint) ?? []).filter(atMs => atMs >= sinceMs).length,
  };
}
