import type {LeaseHold} from '../lease/lease_hold.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {ModelRow} from '../types/model_row.js';
import {createEngineViews} from './engine_views.js';
import type {WeightsSettled} from './events/weights_settled.js';
import {createLoadRateLimiter} from './load_rate_limiter.js';
import {mayUnload} from './may_unload.js';
import {modelKey} from './model_key.js';
import type {ModelPlan} from './model_plan.js';
import type {OrderSender} from './order_sender.js';
import type {EngineOrder} from './orders/engine_order.js';
import type {PlacementConfig} from './placement_config.js';
import {createPlanner} from './planner.js';
import type {PlacerContext} from './placer_context.js';
import {reconcilingOrders} from './reconciling_orders.js';

const ROUND_INTERVAL_MS = 1_000;
/** Time within which every running engine reports. */
const FIRST_REPORTS_MS = 2_000;

/** Reconciles reported with planned state; each lease has a new one. */
export interface Reconciler {
  sync(nowMs: number, rows: EndpointRow[]): void;
  report(nowMs: number, event: EndpointReport): void;
  weightsSettled(ctx: PlacerContext, event: WeightsSettled): void;
  /** Sends orders for the differences if a round is due. */
  reconcile(ctx: PlacerContext, hold: LeaseHold, models: ModelRow[]): void;
}

/** Dependencies and settings of a reconciler. */
export interface ReconcilerParts {
  cfg: PlacementConfig;
  /** Duration of the lease. */
  durationMs: number;
  token: number;
  sender: OrderSender;
}

/** Creates a reconciler that decides once the first reports are due. */
export function createReconciler(
  ctx: PlacerContext,
  parts: ReconcilerParts,
): Reconciler {
  const {cfg, sender} = parts;
  const jitterMs = cfg.startJitterMs * ctx.random();
  const startMs = ctx.nowMs + FIRST_REPORTS_MS + jitterMs;
  const views = createEngineViews();
  const planner = createPlanner(cfg, views);
  const loadLimiter = createLoadRateLimiter(
    cfg.loadIntervalMs,
    startMs,
    parts.token,
  );
  const incarnations = new Map<string, string>();
  const loggedPlans = new Map<string, string>();
  let nextRoundMs = startMs;

  function report(nowMs: number, event: EndpointReport): void {
    const {endpoint, incarnation} = event;
    const before = incarnations.get(endpoint);
    if (before !== undefined && before !== incarnation) {
      loadLimiter.forget(endpoint);
      sender.forget(endpoint);
    }
    incarnations.set(endpoint, incarnation);
    views.report(nowMs, event);
  }

  function reconcile(
    ctx: PlacerContext,
    hold: LeaseHold,
    models: ModelRow[],
  ): void {
    if (ctx.nowMs < nextRoundMs) return;
    nextRoundMs = ctx.nowMs + ROUND_INTERVAL_MS;
    const plans = planner.plan(ctx.nowMs, models);
    for (const plan of plans) reportPlan(ctx, hold, plan);
    const known = views.known(ctx.nowMs);
    for (const view of known) {
      for (const order of reconcilingOrders(view, plans)) {
        if (!maySend(ctx, hold, plans, view.row.name, order)) continue;
        sender.send(ctx, hold, view.row, order);
      }
    }
  }

  function maySend(
    ctx: PlacerContext,
    hold: LeaseHold,
    plans: ModelPlan[],
    endpoint: string,
    order: EngineOrder,
  ): boolean {
    if (order.kind === 'load_model') {
      const key = modelKey(order.model, order.version);
      return loadLimiter.tryTake(ctx, endpoint, key);
    }
    if (order.kind !== 'unload_model') return true;
    // Less than half of the duration is left only if renewals fail.
    const renewed = hold.validUntilMs - ctx.nowMs >= parts.durationMs / 2;
    const plan = plans.find(({row}) => row.name === order.model);
    if (!renewed || !plan) return false;
    const known = views.known(ctx.nowMs);
    return mayUnload(plan, endpoint, order.version, known);
  }

  /** Updates the metrics; logs a plan only if it differs from the last one. */
  function reportPlan(
    ctx: PlacerContext,
    hold: LeaseHold,
    plan: ModelPlan,
  ): void {
    const {row, replicas, demand} = plan;
    const model = row.name;
    observe(ctx, 'placement_demand', model, demand);
    observe(ctx, 'placement_replicas', model, replicas);
    const engines = [...plan.engines].sort().join(',');
    const decision = `${row.version} ${row.adapters.join()} ${engines}`;
    if (loggedPlans.get(model) === decision) return;
    loggedPlans.set(model, decision);
    const {version} = row;
    const {token} = hold;
    const rounded = Number(demand.toFixed(2));
    const fields = {
      model,
      version,
      replicas,
      demand: rounded,
      engines,
      token,
    };
    ctx.emit({kind: 'write_log', event: 'WL6001', fields});
  }

  function observe(
    ctx: PlacerContext,
    metric: 'placement_demand' | 'placement_replicas',
    model: string,
    value: number,
  ): void {
    ctx.emit({kind: 'observe', metric, labels: {model}, value});
  }

  return {
    sync: views.sync,
    report,
    weightsSettled: loadLimiter.settled,
    reconcile,
  };
}
