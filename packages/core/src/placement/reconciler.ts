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

const ROUND_MS = 1_000;
/** Time in which every engine that runs has reported. */
const FIRST_REPORTS_MS = 2_000;

/** Placement under one lease; a new lease starts with a new one. */
export interface Reconciler {
  sync(nowMs: number, rows: EndpointRow[]): void;
  report(nowMs: number, event: EndpointReport): void;
  weightsSettled(ctx: PlacerContext, event: WeightsSettled): void;
  /** Compares reported and planned state if a round is due. */
  round(ctx: PlacerContext, hold: LeaseHold, models: ModelRow[]): void;
}

/** What a reconciler is created from. */
export interface ReconcilerParts {
  cfg: PlacementConfig;
  /** Duration of the lease. */
  durationMs: number;
  token: number;
  sender: OrderSender;
}

/** Creates a reconciler that decides once reports have come in. */
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
  const announced = new Map<string, string>();
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

  function round(
    ctx: PlacerContext,
    hold: LeaseHold,
    models: ModelRow[],
  ): void {
    if (ctx.nowMs < nextRoundMs) return;
    nextRoundMs = ctx.nowMs + ROUND_MS;
    const plans = planner.plan(ctx.nowMs, models);
    for (const plan of plans) announce(ctx, hold, plan);
    const known = views.known(ctx.nowMs);
    for (const view of known) {
      for (const order of reconcilingOrders(view, plans)) {
        if (!due(ctx, hold, plans, view.row.name, order)) continue;
        sender.send(ctx, hold, view.row, order);
      }
    }
  }

  function due(
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
    // Less than half is left only if renewals fail.
    const certain = hold.validUntilMs - ctx.nowMs >= parts.durationMs / 2;
    const plan = plans.find(({row}) => row.name === order.model);
    if (!certain || !plan) return false;
    const known = views.known(ctx.nowMs);
    return mayUnload(plan, endpoint, order.version, known);
  }

  /** One line for each decision, not for each round that repeats it. */
  function announce(
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
    if (announced.get(model) === decision) return;
    announced.set(model, decision);
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
    round,
  };
}
