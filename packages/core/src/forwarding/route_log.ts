import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointChoice} from '../spread/endpoint_choice.js';
import type {PoolReport} from '../spread/pool_report.js';
import {choiceRequestOf} from './choice_request_of.js';
import type {ForwardedRequest} from './forwarded_request.js';

/** Logs where a request is sent now (`WL8301`) or as planned (`WL8305`). */
export function logRoute(
  ctx: GatewayContext,
  req: ForwardedRequest,
  choice: EndpointChoice,
  event: 'WL8301' | 'WL8305',
  version: number,
): void {
  const {promptTokens, dueInMs} = choiceRequestOf(req, ctx.nowMs);
  ctx.emit({
    kind: 'write_log',
    event,
    fields: {
      reqId: req.reqId,
      route: req.route.name,
      attempt: req.attempts,
      endpoint: choice.main.id,
      helpers: choice.helpers.length,
      helperIds: choice.helpers.map(({id}) => id).join(' '),
      promptTokens,
      dueInMs: Math.round(dueInMs),
      startInMs: choice.startInMs,
      expectedMs: choice.expectedMs,
      loss: choice.loss,
      version,
      reason: choice.reason,
    },
  });
}

/**
 * Logs why no endpoint can take a request now.
 * @param slow the best choice, if it cannot serve the request in time
 */
export function logNoRoute(
  ctx: GatewayContext,
  req: ForwardedRequest,
  pool: PoolReport,
  slow: EndpointChoice | undefined,
  version: number,
): void {
  const {promptTokens, dueInMs} = choiceRequestOf(req, ctx.nowMs);
  ctx.emit({
    kind: 'write_log',
    event: 'WL8306',
    fields: {
      reqId: req.reqId,
      route: req.route.name,
      attempt: req.attempts,
      promptTokens,
      dueInMs: Math.round(dueInMs),
      registered: pool.registered,
      sound: pool.healthy,
      drained: pool.drained,
      paused: pool.paused,
      freeTokens: pool.freeTokens,
      roomiestTokens: pool.maxFreeTokens,
      ...(slow && {startInMs: slow.startInMs, expectedMs: slow.expectedMs}),
      version,
    },
  });
}
