import {createDrain} from '../drain/drain.js';
import {createEndpointDirectory} from '../endpoints/endpoint_directory.js';
import {FifoQueue} from '../queue/fifo_queue.js';
import {createAttemptHistory} from '../requests/attempt_history.js';
import {decideOutcome} from '../requests/decide_outcome.js';
import type {RequestState} from '../requests/request_state.js';
import {createRequestTracker} from '../requests/request_tracker.js';
import {createStrategy} from '../routing/create_strategy.js';
import type {QueueEntry} from '../queue/queue_entry.js';
import {createTableFold} from '../table/table_fold.js';
import type {ClassRow} from '../types/class_row.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {DecisionNode} from '../types/decision_node.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {RouterAction} from './actions/router_action.js';
import {chooseClass} from './choose_class.js';
import type {LogRead} from './events/log_read.js';
import type {RequestArrived} from './events/request_arrived.js';
import type {RouterEvent} from './events/router_event.js';
import type {RouterConfig} from './router_config.js';
import type {RouterContext} from './router_context.js';

type Handlers = {
  [K in RouterEvent['kind']]?: (
    ctx: RouterContext,
    event: Extract<RouterEvent, {kind: K}>,
  ) => void;
};

/** A router's decisions: requests, table, endpoints and peers. */
export function createRouterNode(
  cfg: RouterConfig,
): DecisionNode<RouterEvent, RouterAction> {
  const table = createTableFold();
  const endpoints = createEndpointDirectory();
  const strategy = createStrategy(cfg.strategy);
  const queue = new FifoQueue();
  const tracker = createRequestTracker({
    cfg,
    queue,
    endpoints,
    onEnd: () => undefined,
  });
  const drain = createDrain({noticeMs: cfg.drainNoticeMs, cutAll});
  let started = false;
  let ready = false;

  const handlers: Handlers = {
    request_arrived: requestArrived,
    request_cancelled: (ctx, event) =>
      tracker.abort(ctx, event.reqId, 'cancelled', 'cancelled'),
    attempt_delta: (ctx, event) => tracker.delta(ctx, event),
    attempt_ended: (ctx, event) => tracker.ended(ctx, event),
    attempt_failed: (ctx, event) => tracker.failed(ctx, event),
    endpoint_report: (ctx, event) => endpoints.report(ctx, event),
    endpoint_unreachable: (ctx, event) =>
      endpoints.unreachable(ctx, event.endpoint),
    log_read: logRead,
    stop_requested: ctx => drain.stopRequested(ctx, tracker.size()),
  };

  function start(ctx: RouterContext): void {
    started = true;
    ctx.emit({kind: 'set_ready', ready: false, reason: 'no table yet'});
    ctx.emit({kind: 'tail', stream: 'table', from: 0});
  }

  function logRead(ctx: RouterContext, event: LogRead): void {
    if (event.stream !== 'table') return;
    const before = table.next();
    for (const record of event.records) {
      const result = table.apply(record);
      if (!result.ok) {
        ctx.emit({
          kind: 'write_log',
          event: 'WL2003',
          fields: {stream: 'table', offset: record.offset, error: result.val},
        });
      }
    }
    if (table.next() !== before) tableChanged(ctx);
    if (!ready && table.next() >= event.end) becomeReady(ctx);
  }

  function tableChanged(ctx: RouterContext): void {
    endpoints.syncRows(ctx, table.rowsOf('endpoint'));
    ctx.emit({
      kind: 'write_log',
      event: 'WL2001',
      fields: {next: table.next()},
    });
    ctx.emit({
      kind: 'observe',
      metric: 'table_offset',
      labels: {},
      value: table.next(),
    });
  }

  function becomeReady(ctx: RouterContext): void {
    if (drain.stage() !== 'running' || table.rows().length === 0) return;
    ready = true;
    ctx.emit({kind: 'set_ready', ready: true, reason: ''});
  }

  function requestArrived(ctx: RouterContext, event: RequestArrived): void {
    if (!ready) return refuse(ctx, event, 'not_ready');
    if (drain.stage() === 'draining' || drain.stage() === 'stopped') {
      return refuse(ctx, event, 'draining');
    }
    const customer = table
      .rowsOf('customer')
      .find(row => row.keyHashes.includes(event.keyHash));
    if (!customer) return refuse(ctx, event, 'unknown_customer');
    const chosen = chooseClass(event, customer, table.rowsOf('class'));
    if (!chosen.ok) return refuse(ctx, event, chosen.val);
    const cls = chosen.val;
    if (!endpoints.serves(cls.service)) {
      return refuse(ctx, event, 'unknown_service');
    }
    if (queue.size() >= cfg.maxWaiting) {
      return refuse(ctx, event, 'overloaded');
    }
    tracker.admit(ctx, newRequest(ctx, event, customer, cls));
  }

  function refuse(
    ctx: RouterContext,
    event: RequestArrived,
    code: OutcomeCode,
  ): void {
    const history = createAttemptHistory();
    ctx.emit({
      kind: 'finish',
      reqId: event.reqId,
      outcome: decideOutcome(history, true, 'refused', code),
    });
    ctx.emit({
      kind: 'write_log',
      event: 'WL1002',
      fields: {reqId: event.reqId, outcome: 'rejected_not_run', code},
    });
  }

  function dispatchWaiting(ctx: RouterContext): void {
    queue.serve(ctx.nowMs, entry => tryStart(ctx, entry));
  }

  function tryStart(ctx: RouterContext, entry: QueueEntry): boolean {
    const state = tracker.get(entry.reqId);
    if (!state) return true;
    const candidates = endpoints.candidates(entry.service, ctx.nowMs);
    const choice = strategy.choose(
      {
        reqId: entry.reqId,
        promptTokens: entry.promptTokens,
        prefixHashes: state.prefixHashes,
        avoid: state.failedEndpoints,
      },
      candidates,
      ctx.random,
    );
    if (!choice) return false;
    ctx.emit({
      kind: 'write_log',
      event: 'WL1001',
      fields: {
        reqId: entry.reqId,
        attempt: state.attempt + 1,
        endpoint: choice.endpoint.row.name,
        candidates: candidates.length,
        costMs: choice.costMs,
        reason: choice.reason,
      },
    });
    tracker.startAttempt(ctx, state, choice);
    return true;
  }

  function cutAll(ctx: RouterContext): void {
    for (const state of [...tracker.all()]) {
      tracker.abort(ctx, state.entry.reqId, 'failure', 'draining');
    }
  }

  function step(input: {
    event: RouterEvent;
    nowMs: number;
    wallMs: number;
    random: () => number;
  }): RouterAction[] {
    const actions: RouterAction[] = [];
    const ctx: RouterContext = {
      nowMs: input.nowMs,
      wallMs: input.wallMs,
      random: input.random,
      emit: action => actions.push(action),
    };
    if (!started) start(ctx);
    tracker.expire(ctx);
    drain.advance(ctx, tracker.size());
    const handler = handlers[input.event.kind] as
      ((ctx: RouterContext, event: RouterEvent) => void) | undefined;
    handler?.(ctx, input.event);
    dispatchWaiting(ctx);
    drain.advance(ctx, tracker.size());
    return actions;
  }

  return {step};
}

function newRequest(
  ctx: RouterContext,
  event: RequestArrived,
  customer: CustomerRow,
  cls: ClassRow,
): RequestState {
  return {
    entry: {
      reqId: event.reqId,
      customer: customer.name,
      className: cls.name,
      service: cls.service,
      promptTokens: event.promptTokens,
      maxOutputTokens: event.maxOutputTokens,
      weight: cls.weight * customer.weight,
      priority: cls.priority,
      arrivedMs: ctx.nowMs,
      deadlineMs: ctx.nowMs + cls.timeoutMs,
    },
    idempotent: cls.idempotent,
    objective: cls.objective,
    prefixHashes: event.prefixHashes,
    idempotencyKey: event.idempotencyKey,
    phase: 'queued',
    attempt: 0,
    endpoint: '',
    nextSequence: 0,
    progressMs: ctx.nowMs,
    retryAtMs: 0,
    firstTokenMs: undefined,
    failedEndpoints: new Set(),
    history: createAttemptHistory(),
  };
}
