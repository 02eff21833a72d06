import {createLease} from '../lease/create_lease.js';
import type {LeaseHold} from '../lease/lease_hold.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {StepInput} from '../types/step_input.js';
import type {PlacerAction} from './actions/placer_action.js';
import type {OrderSettled} from './events/order_settled.js';
import type {PlacerEvent} from './events/placer_event.js';
import {createOrderSender} from './order_sender.js';
import type {PlacerConfig} from './placer_config.js';
import type {PlacerContext} from './placer_context.js';
import type {PlacerHandlers} from './placer_handlers.js';
import {createReadinessReporter} from './readiness_reporter.js';
import {createReconciler, type Reconciler} from './reconciler.js';
import {createTableFollower} from './table_follower.js';

/** Decisions of a placer: lease, placement plan and orders to engines. */
export interface PlacerNode extends DecisionNode<PlacerEvent, PlacerAction> {
  /** The lease that the node considers its own at a time. */
  hold(nowMs: number): LeaseHold | undefined;
}

/** Creates a node that has read nothing. */
export function createPlacerNode(cfg: PlacerConfig): PlacerNode {
  const lease = createLease(cfg.lease);
  const table = createTableFollower();
  const sender = createOrderSender();
  const readiness = createReadinessReporter();
  let current: {token: number; reconciler: Reconciler} | undefined;
  let started = false;
  let stage: 'running' | 'stopping' | 'stopped' = 'running';

  const handlers: PlacerHandlers = {
    append_settled: (_ctx, event) => lease.appendSettled(event),
    endpoint_report: (ctx, event) =>
      current?.reconciler.report(ctx.nowMs, event),
    // Without new reports the engine's state becomes stale by itself.
    endpoint_unreachable: () => undefined,
    log_read: (ctx, event) => {
      lease.logRead(ctx, event);
      if (table.logRead(ctx, event) && current) syncEngines(ctx, current);
    },
    log_read_failed: (_ctx, event) => lease.logReadFailed(event),
    order_settled: orderSettled,
    stop_requested: stopRequested,
    tick: () => undefined,
    weights_settled: (ctx, event) =>
      current?.reconciler.weightsSettled(ctx, event),
  };

  function orderSettled(ctx: PlacerContext, event: OrderSettled): void {
    const token = sender.settled(ctx, event);
    // The refused order may belong to an earlier lease of this process.
    const isCurrentLease = lease.hold(ctx.nowMs)?.token === token;
    if (event.result === 'stale_token' && isCurrentLease) {
      lease.abandon(ctx, 'stale_token');
    }
  }

  function stopRequested(ctx: PlacerContext): void {
    if (stage === 'running') {
      stage = 'stopping';
      const fields = {inFlight: sender.outstanding()};
      ctx.emit({kind: 'write_log', event: 'WL9002', fields});
    } else if (stage === 'stopping') {
      stop(ctx, sender.outstanding());
    }
  }

  function stop(ctx: PlacerContext, unfinished: number): void {
    stage = 'stopped';
    ctx.emit({kind: 'write_log', event: 'WL9003', fields: {cut: unfinished}});
    ctx.emit({kind: 'exit', code: unfinished > 0 ? 1 : 0});
  }

  /** Orders in flight end before the release, so that none follows it. */
  function advanceStop(ctx: PlacerContext): void {
    if (stage !== 'stopping') return;
    const held = lease.hold(ctx.nowMs);
    if (!held || sender.outstanding() === 0) lease.release(ctx);
    if (lease.released(ctx.nowMs)) stop(ctx, 0);
  }

  /** Starts each lease with a new reconciler, without older state. */
  function followLease(ctx: PlacerContext): void {
    const held = stage === 'running' ? lease.hold(ctx.nowMs) : undefined;
    if (current?.token === held?.token) return;
    current = undefined;
    sender.forgetAll();
    if (!held) {
      ctx.emit({kind: 'watch_endpoints', endpoints: []});
      return;
    }
    const {token} = held;
    const {durationMs} = cfg.lease;
    const parts = {cfg: cfg.placement, durationMs, token, sender};
    current = {token, reconciler: createReconciler(ctx, parts)};
    syncEngines(ctx, current);
  }

  function syncEngines(
    ctx: PlacerContext,
    {reconciler}: {reconciler: Reconciler},
  ): void {
    const engines = table.fold.rowsOf('endpoint').filter(isWatched);
    reconciler.sync(ctx.nowMs, engines);
    const endpoints = engines.map(({name, url}) => ({name, url}));
    ctx.emit({kind: 'watch_endpoints', endpoints});
  }

  function advance(ctx: PlacerContext): void {
    lease.settle(ctx);
    followLease(ctx);
    const held = lease.hold(ctx.nowMs);
    if (current && held && table.loaded()) {
      current.reconciler.reconcile(ctx, held, table.fold.rowsOf('model'));
    }
    advanceStop(ctx);
    readiness.report(ctx, table.loaded(), stage === 'running');
  }

  function step(input: StepInput<PlacerEvent>): PlacerAction[] {
    const actions: PlacerAction[] = [];
    const {event, nowMs, wallMs, random} = input;
    const emit = (action: PlacerAction): void => void actions.push(action);
    const ctx: PlacerContext = {nowMs, wallMs, random, emit};
    if (!started) {
      started = true;
      lease.start(ctx);
      table.start(ctx);
    }
    if (stage === 'stopped') return actions;
    lease.expire(ctx);
    const handle = handlers[event.kind] as (
      ctx: PlacerContext,
      event: PlacerEvent,
    ) => void;
    handle(ctx, event);
    advance(ctx);
    return actions;
  }

  return {step, hold: lease.hold};
}

function isWatched(row: EndpointRow): boolean {
  return row.kind === 'engine' && row.desired === 'serving';
}
