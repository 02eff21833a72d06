import type {RouterContext} from '../router/router_context.js';
import type {Outcome} from '../types/outcome.js';
import type {RequestState} from './request_state.js';

/** Counts and logs the end of a request. */
export function reportEnd(
  ctx: RouterContext,
  state: RequestState,
  outcome: Outcome,
): void {
  const {reqId, className, customer, promptTokens, arrivedMs} = state.entry;
  ctx.emit({
    kind: 'observe',
    metric: 'requests_total',
    labels: {class: className, outcome: outcome.kind},
    value: 1,
  });
  ctx.emit({
    kind: 'write_log',
    event: 'WL1002',
    fields: {
      reqId,
      class: className,
      customer,
      outcome: outcome.kind,
      code: outcome.kind === 'completed' ? '' : outcome.code,
      attempts: state.attempt,
      promptTokens,
      firstTokenMs: state.firstTokenMs ?? -1,
      totalMs: ctx.nowMs - arrivedMs,
    },
  });
}
