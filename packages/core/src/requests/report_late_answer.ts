import type {RouterContext} from '../router/router_context.js';

/** Counts and logs a part of an answer whose attempt is no longer current. */
export function reportLateAnswer(
  ctx: RouterContext,
  reqId: string,
  attempt: number,
): void {
  ctx.emit({
    kind: 'observe',
    metric: 'late_answers_total',
    labels: {},
    value: 1,
  });
  ctx.emit({kind: 'write_log', event: 'WL1004', fields: {reqId, attempt}});
}
