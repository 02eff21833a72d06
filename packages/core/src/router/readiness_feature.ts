import type {Drain} from '../drain/drain.js';
import type {TableFeature} from '../table/table_feature.js';
import type {RouterContext} from './router_context.js';
import type {RouterFeature} from './router_feature.js';

/** Tells the readiness probe whenever its answer changes. */
export function createReadinessFeature(
  table: TableFeature,
  drain: Drain,
): RouterFeature {
  let announced: string | undefined;

  function reason(): string {
    if (drain.stage() !== 'running') return 'draining';
    return table.loaded() ? '' : 'no table yet';
  }

  function announce(ctx: RouterContext): void {
    const now = reason();
    if (now === announced) return;
    announced = now;
    ctx.emit({kind: 'set_ready', ready: now === '', reason: now});
    ctx.emit({kind: 'write_log', event: 'WL9005', fields: {reason: now}});
  }

  return {handlers: {}, start: announce, settle: announce};
}
