import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import {capacityWaitEndMs, pauseWaitEndMs} from './wait_ends.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {RequestEnd} from './request_end.js';
import {staggeredRetryMs} from './retry_after.js';
import {logNoRoute} from './route_log.js';
import {isTooLate} from './serves_in_time.js';
import type {WaitingRequests} from './waiting_requests.js';

/** Interval of capacity checks, which cost processor time. */
const CAPACITY_CHECK_INTERVAL_MS = 50;

/** Requests for which no endpoint has capacity now, or none in time. */
export interface CapacityWait {
  /**
   * Sets the next check of a request that may still find capacity in time,
   * and refuses any other.
   * @param slow the best choice, if it cannot serve the request in time
   */
  awaitOrRefuse(
    ctx: GatewayContext,
    req: ForwardedRequest,
    slow: EndpointChoice | undefined,
  ): void;
}

/** Dependencies of the waits. */
export interface CapacityWaitParts {
  configuration: PublishedConfiguration;
  selection: EndpointSelection;
  waiting: WaitingRequests;
  end: RequestEnd;
}

/** Creates the waits for capacity. */
export function createCapacityWait(parts: CapacityWaitParts): CapacityWait {
  const {configuration, selection, waiting, end} = parts;

  function awaitOrRefuse(
    ctx: GatewayContext,
    req: ForwardedRequest,
    slow: EndpointChoice | undefined,
  ): void {
    const {nowMs} = ctx;
    if (req.nextCapacityCheckMs === undefined) {
      const pool = selection.pool(nowMs, req.service);
      logNoRoute(ctx, req, pool, slow, configuration.version());
    }
    if (selection.drainsExclude(req.service, choiceRequestOf(req, nowMs))) {
      return end.failUnserved(ctx, req);
    }
    const ahead = waiting.count(req.service);
    const openMs = selection.closedUntilMs(nowMs, req.service, ahead);
    if (openMs !== undefined) return awaitOpening(ctx, req, openMs);
    const waitEndMs = capacityWaitEndMs(req);
    const hopeless = slow && isTooLate(nowMs, req, slow);
    if (hopeless || nowMs >= waitEndMs) {
      return end.failUnserved(ctx, req, staggeredRetryMs(ctx, req, slow));
    }
    const checkMs = nowMs + CAPACITY_CHECK_INTERVAL_MS;
    waiting.wait(req, Math.min(checkMs, waitEndMs));
  }

  /**
   * All endpoints asked for a pause or are at their limits. The request waits
   * for the first that opens if that may be in time, else it is refused.
   */
  function awaitOpening(
    ctx: GatewayContext,
    req: ForwardedRequest,
    openMs: number,
  ): void {
    // An opening in the past is left to other gateways for a moment.
    const checkMs = Math.max(openMs, ctx.nowMs + CAPACITY_CHECK_INTERVAL_MS);
    if (openMs >= pauseWaitEndMs(req)) {
      return end.failUnserved(ctx, req, checkMs - ctx.nowMs);
    }
    waiting.wait(req, checkMs);
  }

  return {awaitOrRefuse};
}
