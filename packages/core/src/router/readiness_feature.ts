import type {Drain} from '../drain/drain.js';
import type {TableFeature} from '../table/table_feature.js';
import type {RouterContext} from './router_context.js';
import type {RouterFeature} from './router_feature.js';

/** Updates the readiness probe whenever its answer changes. */
export function createReadinessFeature(
  table: TableFeature,
  drain: Drain<RouterContext>,
): RouterFeature {
  let reported: string | undefined;

  function reason(ctx: RouterContext): string {
    if (drain.stage() !== 'running') return 'draining';
    const staleness = table.stalenessReason(ctx.nowMs);
    if (!table.loaded()) return `no table yet${staleness && `: ${staleness}`}`;
    return staleness && `table may not be the newest: ${staleness}`;
  }

  function reportIfChanged(ctx: RouterContext): void {
    const current = reason(ctx);
    if (current === reported) return;
    reported = current;
    const ready = drain.stage() === 'running' && table.loaded();
    ctx.emit({kind: 'set_ready', ready, reason: current});
    const fields = {ready, reason: current};
    ctx.emit({kind: 'write_log', event: 'WL9005', fields});
  }

  return {handlers: {}, start: reportIfChanged, settle: reportIfChanged};
}
