import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import {createArrivalProcess} from './arrivals/arrival_process.js';
import {baselineLengths} from './baseline_lengths.js';
import type {LoadAction} from './load_action.js';
import type {LoadConfig} from './load_config.js';
import type {LoadContext} from './load_context.js';
import type {LoadEvent} from './load_event.js';
import type {LoadPhase} from './load_phase.js';
import type {Mix} from './mix/mix.js';
import type {EndedRequest} from './requests/ended_request.js';
import {createOpenRequests} from './requests/open_requests.js';
import type {PlannedRequest} from './requests/planned_request.js';
import {createRequestPlanner} from './requests/request_planner.js';
import {createBaseline} from './stats/baseline.js';
import {createIdempotencyAudit} from './stats/idempotency_audit.js';
import {createStatistics} from './stats/statistics.js';

/** Decisions of a load run through its phases. */
export type LoadNode = DecisionNode<LoadEvent, LoadAction>;

/** Creates a run that starts with its first tick. */
export function createLoadNode(
  cfg: LoadConfig,
  mix: Mix,
  runId: string,
): LoadNode {
  const planner = createRequestPlanner(mix, runId);
  const arrivals = createArrivalProcess(mix);
  const open = createOpenRequests();
  const baseline = createBaseline();
  const audit = createIdempotencyAudit();
  const stats = createStatistics(baseline, audit, cfg.shortTokens);
  const pendingLengths = baselineLengths(cfg);
  let phase: LoadPhase = 'baseline';
  let loadStartMs = 0;
  let loadEndMs = 0;
  let nextRouter = 0;

  function send(ctx: LoadContext, request: PlannedRequest): void {
    open.sent(ctx.nowMs, request);
    if (request.phase === 'load') stats.sent(request);
    ctx.emit({kind: 'send_request', request, router: nextRouter});
    nextRouter = (nextRouter + 1) % cfg.routers;
  }

  function recordEnd(ended: EndedRequest | undefined): void {
    if (!ended) return;
    const {request, outcome, firstTokenMs} = ended;
    if (request.phase === 'load') {
      stats.ended(ended);
      audit.ended(ended);
    } else if (outcome === 'completed' && firstTokenMs !== undefined) {
      if (request.kind === 'chat') {
        baseline.add(request.promptTokens, firstTokenMs);
      }
    }
  }

  function sendDueRequests(ctx: LoadContext): void {
    const elapsedMs = Math.min(cfg.durationMs, ctx.nowMs - loadStartMs);
    const due = arrivals.countUntil(elapsedMs, ctx.random);
    for (let i = 0; i < due; i++) {
      if (open.size() >= cfg.maxInFlight) {
        stats.notSent();
        continue;
      }
      for (const request of planner.draw(ctx.wallMs, ctx.random)) {
        send(ctx, request);
      }
    }
  }

  function advance(ctx: LoadContext): void {
    for (const id of open.overdue(ctx.nowMs, cfg.graceMs)) {
      ctx.emit({kind: 'abort_request', id});
      recordEnd(open.failed(ctx.nowMs, id, 'no_answer', ''));
    }
    switch (phase) {
      case 'baseline': {
        if (open.size() > 0) return;
        const tokens = pendingLengths.shift();
        const request = tokens && planner.baseline(tokens);
        if (request) send(ctx, request);
        else startLoad(ctx);
        return;
      }
      case 'load':
        sendDueRequests(ctx);
        if (ctx.nowMs - loadStartMs >= cfg.durationMs) endLoad(ctx);
        return;
      case 'drain':
        if (open.size() > 0) return;
        phase = 'audit';
        ctx.emit({kind: 'read_executions'});
        return;
      case 'audit':
      case 'finished':
    }
  }

  function startLoad(ctx: LoadContext): void {
    phase = 'load';
    loadStartMs = ctx.nowMs;
  }

  function endLoad(ctx: LoadContext): void {
    phase = 'drain';
    loadEndMs = ctx.nowMs;
  }

  function handle(ctx: LoadContext, event: LoadEvent): void {
    const {nowMs} = ctx;
    switch (event.kind) {
      case 'part_arrived':
        open.part(nowMs, event.id, event.text);
        return;
      case 'answer_ended':
        recordEnd(open.ended(nowMs, event.id));
        return;
      case 'call_answered':
        recordEnd(open.ended(nowMs, event.id, event.bodyHash));
        return;
      case 'outcome_stated':
        recordEnd(open.failed(nowMs, event.id, event.outcome, event.code));
        return;
      case 'connection_ended':
        recordEnd(open.failed(nowMs, event.id, event.reason, ''));
        return;
      case 'executions_read':
        if (phase !== 'audit') return;
        phase = 'finished';
        audit.executed(event.executions);
        ctx.emit({
          kind: 'finish',
          result: stats.result(loadEndMs - loadStartMs),
        });
        return;
      case 'stop_requested':
        if (phase === 'baseline') startLoad(ctx);
        if (phase === 'load') endLoad(ctx);
        return;
      case 'tick':
        advance(ctx);
    }
  }

  return {
    step: ({event, nowMs, wallMs, random}) => {
      const actions: LoadAction[] = [];
      const emit = (action: LoadAction): void => void actions.push(action);
      const ctx = {nowMs, wallMs, random, emit};
      handle(ctx, event);
      return actions;
    },
  };
}
