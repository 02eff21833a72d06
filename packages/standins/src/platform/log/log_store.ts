import {createTokenBucket} from '../../shared/token_bucket.js';
import type {LateAnswers} from '../late_answers.js';
import type {PlatformConfig} from '../platform_config.js';
import type {PlatformContext} from '../platform_context.js';
import type {AppendAsked, ReadAsked} from '../platform_event.js';
import type {PlatformFaults} from '../platform_faults.js';
import {createStoredStream, type StoredStream} from './stored_stream.js';

/** The append-only log service. */
export interface LogStore {
  append(ctx: PlatformContext, event: AppendAsked): void;
  read(ctx: PlatformContext, event: ReadAsked): void;
  clientGone(callId: string): void;
  /** Answers reads whose wait is over. */
  advance(ctx: PlatformContext): void;
}

interface WaitingRead {
  read: ReadAsked;
  dueMs: number;
}

/** Creates a log without streams. */
export function createLogStore(
  cfg: PlatformConfig,
  faults: PlatformFaults,
  answers: LateAnswers,
): LogStore {
  const streams = new Map<string, StoredStream>();
  const waiting = new Map<string, WaitingRead>();
  const bucket = createTokenBucket(cfg.appendsPerSecond, cfg.appendBurst);

  function stream(name: string): StoredStream {
    const found = streams.get(name) ?? createStoredStream(cfg);
    streams.set(name, found);
    return found;
  }

  function fails(ctx: PlatformContext, callId: string): boolean {
    if (faults.outage === 0 || ctx.random() >= faults.outage) return false;
    const body = {error: 'unavailable'};
    answers.send(ctx, {kind: 'answer', callId, status: 503, body});
    return true;
  }

  function append(ctx: PlatformContext, event: AppendAsked): void {
    const {callId, data} = event;
    if (fails(ctx, callId)) return;
    if (!bucket.tryTake(ctx.nowMs)) {
      const body = {error: 'append_rate'};
      answers.send(ctx, {kind: 'answer', callId, status: 429, body});
      return;
    }
    const offset = stream(event.stream).append(ctx.nowMs, data);
    if (faults.lostAppends > 0 && ctx.random() < faults.lostAppends) {
      answers.send(ctx, {kind: 'close', callId});
    } else {
      answers.send(ctx, {kind: 'answer', callId, status: 200, body: {offset}});
    }
    wake(ctx, event.stream);
  }

  function wake(ctx: PlatformContext, name: string): void {
    for (const [callId, {read}] of waiting) {
      if (read.stream !== name) continue;
      waiting.delete(callId);
      if (!fails(ctx, callId)) answerRead(ctx, read, 0);
    }
  }

  function answerRead(
    ctx: PlatformContext,
    event: ReadAsked,
    waitMs: number,
  ): void {
    const {callId, from} = event;
    const batch = stream(event.stream).read(ctx.nowMs, from);
    if (batch.records.length === 0 && waitMs > 0) {
      waiting.set(callId, {read: event, dueMs: ctx.nowMs + waitMs});
      return;
    }
    answers.send(ctx, {kind: 'answer', callId, status: 200, body: {...batch}});
  }

  return {
    append,
    read: (ctx, event) => {
      if (!fails(ctx, event.callId)) answerRead(ctx, event, event.waitMs);
    },
    clientGone: callId => void waiting.delete(callId),
    advance: ctx => {
      for (const [callId, {read, dueMs}] of waiting) {
        if (ctx.nowMs < dueMs) continue;
        waiting.delete(callId);
        if (!fails(ctx, callId)) answerRead(ctx, read, 0);
      }
    },
  };
}
