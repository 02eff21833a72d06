import {createTokenBucket} from '../../shared/token_bucket.js';
import type {DelayedResponses} from '../delayed_responses.js';
import type {PlatformConfig} from '../platform_config.js';
import type {PlatformContext} from '../platform_context.js';
import type {AppendAsked, ReadAsked} from '../platform_event.js';
import type {PlatformFaults} from '../platform_faults.js';
import {createStoredStream, type StoredStream} from './stored_stream.js';

/** Simulated append-only log service. */
export interface LogStore {
  append(ctx: PlatformContext, event: AppendAsked): void;
  read(ctx: PlatformContext, event: ReadAsked): void;
  clientGone(callId: string): void;
  /** Answers long-poll reads whose wait time has passed. */
  advance(ctx: PlatformContext): void;
}

/** A long-poll read without a record so far. */
interface WaitingRead {
  read: ReadAsked;
  dueMs: number;
}

/** Creates a log without streams. */
export function createLogStore(
  cfg: PlatformConfig,
  faults: PlatformFaults,
  responses: DelayedResponses,
): LogStore {
  const streams = new Map<string, StoredStream>();
  const waitingReads = new Map<string, WaitingRead>();
  const bucket = createTokenBucket(cfg.appendsPerSecond, cfg.appendBurst);

  function getOrCreateStream(name: string): StoredStream {
    const found = streams.get(name) ?? createStoredStream(cfg);
    streams.set(name, found);
    return found;
  }

  function refuseInOutage(ctx: PlatformContext, callId: string): boolean {
    if (faults.outage === 0 || ctx.random() >= faults.outage) return false;
    const body = {error: 'unavailable'};
    responses.send(ctx, {kind: 'answer', callId, status: 503, body});
    return true;
  }

  function append(ctx: PlatformContext, event: AppendAsked): void {
    const {callId, data} = event;
    if (refuseInOutage(ctx, callId)) return;
    if (!bucket.tryTake(ctx.nowMs)) {
      const body = {error: 'append_rate'};
      responses.send(ctx, {kind: 'answer', callId, status: 429, body});
      return;
    }
    const offset = getOrCreateStream(event.stream).append(ctx.nowMs, data);
    if (faults.lostAppends > 0 && ctx.random() < faults.lostAppends) {
      responses.send(ctx, {kind: 'close', callId});
    } else {
      responses.send(ctx, {
        kind: 'answer',
        callId,
        status: 200,
        body: {offset},
      });
    }
    answerWaitingReads(ctx, event.stream);
  }

  function answerWaitingReads(ctx: PlatformContext, name: string): void {
    for (const [callId, {read}] of waitingReads) {
      if (read.stream !== name) continue;
      waitingReads.delete(callId);
      if (!refuseInOutage(ctx, callId)) answerRead(ctx, read, 0);
    }
  }

  function answerRead(
    ctx: PlatformContext,
    event: ReadAsked,
    waitMs: number,
  ): void {
    const {callId, from} = event;
    const batch = getOrCreateStream(event.stream).read(ctx.nowMs, from);
    if (batch.records.length === 0 && waitMs > 0) {
      waitingReads.set(callId, {read: event, dueMs: ctx.nowMs + waitMs});
      return;
    }
    responses.send(ctx, {
      kind: 'answer',
      callId,
      status: 200,
      body: {...batch},
    });
  }

  return {
    append,
    read: (ctx, event) => {
      if (refuseInOutage(ctx, event.callId)) return;
      answerRead(ctx, event, event.waitMs);
    },
    clientGone: callId => void waitingReads.delete(callId),
    advance: ctx => {
      for (const [callId, {read, dueMs}] of waitingReads) {
        if (ctx.nowMs < dueMs) continue;
        waitingReads.delete(callId);
        if (!refuseInOutage(ctx, callId)) answerRead(ctx, read, 0);
      }
    },
  };
}
