import type {RouterContext} from '../router/router_context.js';
import type {EndpointView} from './endpoint_view.js';

const FAILURES_BEFORE_BLOCK = 3;
const BLOCK_MS = 1_000;
const MAX_BLOCK_MS = 15_000;

/** Counts a failure; returns whether the endpoint is blocked for a time. */
export function countFailure(ctx: RouterContext, view: EndpointView): boolean {
  view.consecutiveFailures += 1;
  const beyond = view.consecutiveFailures - FAILURES_BEFORE_BLOCK;
  if (beyond < 0) return false;
  const blockMs = Math.min(MAX_BLOCK_MS, BLOCK_MS * 2 ** beyond);
  view.blockedUntilMs = ctx.nowMs + blockMs;
  ctx.emit({
    kind: 'write_log',
    event: 'WL5001',
    fields: {endpoint: view.row.name, state: 'blocked', blockMs},
  });
  return true;
}
