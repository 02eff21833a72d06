import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {WarmUp} from './warm_up.js';

/** Reports which endpoints turn cold or warm. */
export interface WarmUpReport extends GatewayFeature {
  /** Endpoints or their services changed. */
  changed(): void;
}

/** Creates the report of a gateway that knows no cold endpoint. */
export function createWarmUpReport(
  warmUp: WarmUp,
  registry: EndpointRegistry,
): WarmUpReport {
  let cold = new Map<string, EndpointEntry>();
  /** Steady clock; endpoints stay as they are until then, or a change. */
  let nextCheckMs = Number.NEGATIVE_INFINITY;

  function check(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const before = cold;
    cold = new Map();
    nextCheckMs = Number.POSITIVE_INFINITY;
    for (const entry of registry.entries()) {
      const remainingMs = warmUp.remainingMs(nowMs, entry);
      if (remainingMs === 0) continue;
      cold.set(entry.id, entry);
      nextCheckMs = Math.min(nextCheckMs, nowMs + remainingMs);
    }
    report(ctx, before);
  }

  function report(
    ctx: GatewayContext,
    before: ReadonlyMap<string, EndpointEntry>,
  ): void {
    const turnedCold = [...cold.values()].filter(({id}) => !before.has(id));
    const turnedWarm = [...before.values()].filter(({id}) => !cold.has(id));
    for (const {id: endpoint, service} of turnedWarm) {
      const fields = {endpoint, service};
      ctx.emit({kind: 'write_log', event: 'WL8013', fields});
    }
    for (const entry of turnedCold) logCold(ctx, entry);
    if (turnedCold.length + turnedWarm.length === 0) return;
    const metric = 'cold_endpoints';
    ctx.emit({kind: 'observe', metric, labels: {}, value: cold.size});
  }

  function logCold(ctx: GatewayContext, entry: EndpointEntry): void {
    const {id: endpoint, service} = entry;
    const remainingMs = Math.round(warmUp.remainingMs(ctx.nowMs, entry));
    const requestsPerS = warmUp.rateOf(ctx.nowMs, entry)?.perSecond ?? 0;
    const fields = {endpoint, service, remainingMs, requestsPerS};
    ctx.emit({kind: 'write_log', event: 'WL8012', fields});
  }

  return {
    handlers: {},
    expire: ctx => {
      if (ctx.nowMs >= nextCheckMs) check(ctx);
    },
    changed: () => {
      nextCheckMs = Number.NEGATIVE_INFINITY;
    },
  };
}
