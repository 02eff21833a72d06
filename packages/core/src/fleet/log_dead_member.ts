import type {GatewayContext} from '../gateway/gateway_context.js';

/** Logs that a gateway sends no heartbeats any more. */
export function logDeadMember(
  ctx: GatewayContext,
  member: string,
  lastHeardMs: number | undefined,
): void {
  const silentMs = Math.round(ctx.nowMs - (lastHeardMs ?? ctx.nowMs));
  const fields = {member, silentMs};
  ctx.emit({kind: 'write_log', event: 'WL8102', fields});
}
