import type {GatewayContext} from '../gateway/gateway_context.js';

/** Logs that a gateway is no longer heard. */
export function logSilent(
  ctx: GatewayContext,
  member: string,
  heardMs: number | undefined,
): void {
  const silentMs = Math.round(ctx.nowMs - (heardMs ?? ctx.nowMs));
  const fields = {member, silentMs};
  ctx.emit({kind: 'write_log', event: 'WL8102', fields});
}
