import type {DecisionNode} from '@wisterialadder/core/types/decision_node.js';
import type {EngineAction} from './actions/engine_action.js';
import type {EngineConfig} from './engine_config.js';
import type {EngineContext} from './engine_context.js';
import {noEngineFaults} from './engine_faults.js';
import type {EngineHandlers} from './engine_handlers.js';
import type {EngineReport} from './engine_report.js';
import type {EngineEvent} from './events/engine_event.js';
import {createDelayedReports} from './delayed_reports.js';
import {BLOCK_TOKENS} from './memory/block_tokens.js';
import type {CacheEventsResponse} from './memory/cache_events_response.js';
import {createCacheEventFeed} from './memory/cache_event_feed.js';
import {createKvMemory} from './memory/kv_memory.js';
import {createModelSet} from './orders/model_set.js';
import {createHeldSessions} from './sessions/held_sessions.js';
import {createStreamTable} from './sessions/create_stream_table.js';

/** A simulated model engine. */
export interface EngineNode extends DecisionNode<EngineEvent, EngineAction> {
  /** Newest load report older than the report lag. */
  report(nowMs: number): EngineReport;
  /** Prefix-cache changes after a sequence number; a full listing for -1. */
  cacheEvents(nowMs: number, after: number): CacheEventsResponse;
}

/** Creates an engine without streams. */
export function createEngineNode(cfg: EngineConfig): EngineNode {
  const faults = noEngineFaults();
  const memory = createKvMemory(cfg.kvCapacityTokens);
  const feed = createCacheEventFeed(cfg);
  const models = createModelSet(cfg);
  const held = createHeldSessions(cfg, memory, faults);
  const streams = createStreamTable(cfg, memory, faults, models.isLoaded);
  const reports = createDelayedReports(cfg);
  let stopping = false;

  const handlers: EngineHandlers = {
    chat_arrived: (ctx, event) => streams.arrive(ctx, event),
    client_gone: (ctx, {callId}) => streams.clientGone(ctx, callId),
    remote_settled: (ctx, {callId, ok}) =>
      streams.reservationsSettled(ctx, callId, ok),
    session_deleted: (ctx, {callId, sessionId}) => {
      const found =
        streams.deleteSession(ctx, sessionId) || held.deleteSession(sessionId);
      ctx.emit({kind: 'answer', callId, status: 200, body: {released: found}});
    },
    reservation_asked: (ctx, event) => held.reserve(ctx, event),
    reservation_used: (ctx, {callId, sessionId}) =>
      held.use(ctx, callId, sessionId),
    export_asked: (ctx, event) => held.export(ctx, event),
    import_asked: (ctx, event) => held.import(ctx, event),
    order_received: (ctx, event) => models.handleOrder(ctx, event),
    weights_settled: (ctx, {model, ok}) =>
      models.weightsSettled(ctx, model, ok),
    control_received: (ctx, {callId, faults: change}) => {
      Object.assign(faults, change);
      ctx.emit({kind: 'answer', callId, status: 200, body: {...faults}});
    },
    stop_requested: ctx => {
      if (stopping) ctx.emit({kind: 'exit'});
      stopping = true;
      faults.leaving = true;
    },
    tick: () => undefined,
  };

  function currentReport(nowMs: number): EngineReport {
    return {
      incarnation: cfg.incarnation,
      leaving: faults.leaving,
      queuedPrefillTokens: streams.queuedPrefillTokens(),
      decodeStreams: streams.decodeStreams(),
      kvUsedTokens: memory.usedTokens(),
      kvCapacityTokens: cfg.kvCapacityTokens,
      cacheSequence: feed.sequence(),
      sessions: [...streams.sessions(nowMs), ...held.sessions(nowMs)],
      models: models.models(),
      role: models.role(),
      adapters: models.adapters(),
      cachedTokens: memory.cachedHashes().length * BLOCK_TOKENS,
    };
  }

  function advance(ctx: EngineContext): void {
    held.expire(ctx);
    models.advance(ctx);
    streams.advance(ctx);
  }

  return {
    step: ({event, nowMs, wallMs, random}) => {
      const actions: EngineAction[] = [];
      const emit = (action: EngineAction): void => void actions.push(action);
      const ctx: EngineContext = {nowMs, wallMs, random, emit};
      advance(ctx);
      const handle = handlers[event.kind] as (
        ctx: EngineContext,
        event: EngineEvent,
      ) => void;
      handle(ctx, event);
      streams.advance(ctx);
      feed.record(nowMs, memory.takeChanges(), random);
      reports.advance(nowMs, () => currentReport(nowMs));
      if (stopping && streams.size() === 0) emit({kind: 'exit'});
      return actions;
    },
    report: nowMs => reports.read(nowMs) ?? currentReport(nowMs),
    cacheEvents: (nowMs, after) =>
      after < 0 ? feed.listing(memory.cachedHashes()) : feed.read(nowMs, after),
  };
}
