import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import {capacityWaitEndMs, pauseWaitEndMs} from './wait_ends.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {RequestEnd} from './request_end.js';
import {logNoRoute} from './route_log.js';
import {isTooLate} from './serves_in_time.js';

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
  end: RequestEnd;
}

/** Creates the waits for capacity. */
export function createCapacityWait(parts: CapacityWaitParts): CapacityWait {
  const {configuration, selection, end} = parts;

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
    const resumeMs = selection.pausedUntilMs(nowMs, req.service);
    if (resumeMs !== undefined) return awaitPauseEnd(ctx, req, resumeMs);
    const waitEndMs = capacityWaitEndMs(req);
    const hopeless = slow && isTooLate(nowMs, req, slow);
    if (hopeless || nowMs >= waitEndMs) return end.failUnserved(ctx, req);
    req.nextCapacityCheckMs = Math.min(
      nowMs + CAPACITY_CHECK_INTERVAL_MS,
      waitEndMs,
    );
  }

  /**
   * All endpoints asked for a pause. The request waits for the first end if
   * that may be in time; otherwise it is refused until then.
   */
  function awaitPauseEnd(
    ctx: GatewayContext,
    req: ForwardedRequest,
    resumeMs: number,
  ): void {
    if (resumeMs < pauseWaitEndMs(req)) req.nextCapacityCheckMs = resumeMs;
    else end.failUnserved(ctx, req, resumeMs - ctx.nowMs);
  }

  return {awaitOrRefuse};
}
