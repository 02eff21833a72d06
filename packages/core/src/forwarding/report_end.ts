import type {GatewayContext} from '../gateway/gateway_context.js';
import type {ForwardedRequest} from './forwarded_request.js';
import type {Refusal} from './refusal.js';

/** Refuses a request that was not admitted. */
export function refuse(
  ctx: GatewayContext,
  reqId: string,
  refusal: Refusal,
  retryAfterMs: number | undefined,
): void {
  ctx.emit({kind: 'refuse', reqId, refusal, retryAfterMs});
  reportUnadmitted(ctx, reqId, 'refused', refusal);
}

/** Logs and counts the end of a request that was not admitted. */
export function reportUnadmitted(
  ctx: GatewayContext,
  reqId: string,
  outcome: 'refused' | 'caller_left',
  detail: string,
): void {
  const fields = {reqId, outcome, detail};
  ctx.emit({kind: 'write_log', event: 'WL8302', fields});
  count(ctx, '', outcome);
}

/** Logs and counts the end of an admitted request. */
export function reportEnd(
  ctx: GatewayContext,
  req: ForwardedRequest,
  outcome: string,
  detail: string,
): void {
  ctx.emit({
    kind: 'write_log',
    event: 'WL8302',
    fields: {
      reqId: req.reqId,
      route: req.route.name,
      outcome,
      detail,
      attempts: req.attempts,
      pieces: req.lastPiece,
      firstPieceMs: Math.round(req.firstPieceMs ?? -1),
      longestGapMs: Math.round(req.longestGapMs),
      afterMs: Math.round(ctx.nowMs - req.arrivedMs),
    },
  });
  count(ctx, req.service, outcome);
}

function count(ctx: GatewayContext, service: string, outcome: string): void {
  ctx.emit({
    kind: 'observe',
    metric: 'forwarded_total',
    labels: {service, outcome},
    value: 1,
  });
}
