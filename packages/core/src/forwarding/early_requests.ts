import type {RequestArrived} from '../gateway/events/request_arrived.js';

/**
 * Longest wait of a request for the first configuration. A gateway that has
 * just started reads it within a fraction of this, and a refusal would use up
 * one of the caller's retries.
 */
const MAX_CONFIGURATION_WAIT_MS = 400;

/** A request that arrived before the first configuration was read. */
export interface EarlyRequest {
  event: RequestArrived;
  /** Steady clock. */
  arrivedMs: number;
}

/** Requests that wait for the first configuration. */
export interface EarlyRequests {
  add(request: EarlyRequest): void;
  /** Removes a request whose caller left; false if it does not wait here. */
  remove(reqId: string): boolean;
  /**
   * Removes and returns the requests whose wait is over.
   * @param known whether a configuration has been read
   */
  take(nowMs: number, known: boolean): EarlyRequest[];
  size(): number;
}

/** Creates an empty waiting list. */
export function createEarlyRequests(): EarlyRequests {
  const waiting = new Map<string, EarlyRequest>();

  return {
    add: request => void waiting.set(request.event.reqId, request),
    remove: reqId => waiting.delete(reqId),
    take: (nowMs, known) => {
      const due = [...waiting.values()].filter(
        ({arrivedMs}) =>
          known || nowMs - arrivedMs >= MAX_CONFIGURATION_WAIT_MS,
      );
      for (const {event} of due) waiting.delete(event.reqId);
      return due;
    },
    size: () => waiting.size,
  };
}
