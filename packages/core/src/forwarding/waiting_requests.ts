import type {ForwardedRequest} from './forwarded_request.js';

/** Requests that wait for capacity or for another request's trial. */
export interface WaitingRequests {
  /** Lets a request wait until it is checked again. */
  wait(req: ForwardedRequest, checkMs: number): void;
  /** A request waits no longer. */
  leave(req: ForwardedRequest): void;
  /** Number of those for a service; takes the same time however many wait. */
  count(service: string): number;
}

/** Creates the record of a gateway at which nothing waits. */
export function createWaitingRequests(): WaitingRequests {
  const counts = new Map<string, number>();
  const count = (service: string): number => counts.get(service) ?? 0;

  function wait(req: ForwardedRequest, checkMs: number): void {
    const waits = req.nextCapacityCheckMs !== undefined;
    if (!waits) counts.set(req.service, count(req.service) + 1);
    req.nextCapacityCheckMs = checkMs;
  }

  function leave(req: ForwardedRequest): void {
    if (req.nextCapacityCheckMs === undefined) return;
    req.nextCapacityCheckMs = undefined;
    const left = count(req.service) - 1;
    if (left > 0) counts.set(req.service, left);
    else counts.delete(req.service);
  }

  return {wait, leave, count};
}
