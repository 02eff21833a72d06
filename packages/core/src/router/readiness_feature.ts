import type {Drain} from '../drain/drain.js';
import type {TableFeature} from '../table/table_feature.js';
import type {RouterContext} from './router_context.js';
import type {RouterFeature} from './router_feature.js';

/** Tells the readiness probe whenever its answer changes. */
export function createReadinessFeature(
  table: TableFeature,
  drain: Drain<RouterContext>,
): RouterFeature {
  let announced: string | undefined;

  function reason(ctx: RouterContext): string {
    if (drain.stage() !== 'running') return 'draining';
    const doubt = table.stalenessReason(ctx.nowMs);
    if (!table.loaded()) return `no table yet${doubt && `: ${doubt}`}`;
    return doubt && `table may not be the newest: ${doubt}`;
  }

  function announce(ctx: RouterContext): void {
    const now = reason(ctx);
    if (now === announced) return;
    announced = now;
    const ready = drain.stage() === 'running' && table.loaded();
    ctx.emit({kind: 'set_ready', ready, reason: now});
    const fields = {ready, reason: now};
    ctx.emit({kind: 'write_log', event: 'WL9005', fields});
  }

  return {handlers: {}, start: announce, settle: announce};
}
