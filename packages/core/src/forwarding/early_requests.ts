import type {RequestArrived} from '../gateway/events/request_arrived.js';

/**
 * Time that a request waits for the first configuration. A gateway that has
 * just started reads it within a fraction of this, and the caller of a request
 * that is refused has one repeat less.
 */
const FIRST_CONFIGURATION_MS = 400;

/** A request that arrived before anything was known. */
export interface EarlyRequest {
  event: RequestArrived;
  /** Steady clock. */
  arrivedMs: number;
}

/** Requests that wait for the first configuration. */
export interface EarlyRequests {
  add(request: EarlyRequest): void;
  /** The caller left; false if its request does not wait here. */
  left(reqId: string): boolean;
  /**
   * Takes out the requests that need not wait any longer.
   * @param known whether a configuration is known by now
   */
  take(nowMs: number, known: boolean): EarlyRequest[];
  size(): number;
}

/** Creates an empty waiting list. */
export function createEarlyRequests(): EarlyRequests {
  const waiting = new Map<string, EarlyRequest>();

  return {
    add: request => void waiting.set(request.event.reqId, request),
    left: reqId => waiting.delete(reqId),
    take: (nowMs, known) => {
      const due = [...waiting.values()].filter(
        ({arrivedMs}) => known || nowMs - arrivedMs >= FIRST_CONFIGURATION_MS,
      );
      for (const {event} of due) waiting.delete(event.reqId);
      return due;
    },
    size: () => waiting.size,
  };
}
