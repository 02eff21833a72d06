import type {RouterContext} from '../router/router_context.js';
import type {RoutingStrategy} from '../routing/routing_strategy.js';
import type {DecodeTimes} from './decode_times.js';
import type {QueueEntry} from './queue_entry.js';
import type {RequestQueue} from './request_queue.js';
import {retryAfterMs} from './retry_after.js';

/** Pause between two sweeps over the waiting requests. */
const SWEEP_MS = 50;
/** Estimates that are a little short would start work in vain. */
const SAFETY = 1.2;
/** Part of the waiting room that each level of priority leaves free. */
const ROOM_PER_PRIORITY = 0.05;

/** Finds requests that cannot finish in time before they use an engine. */
export interface EarlyRejection {
  /** Retry-After of a new request that would wait too long. */
  checkArrival(ctx: RouterContext, entry: QueueEntry): number | undefined;
  /**
   * Retry-After of a request whose start would come too late; `waitMs` is the
   * expected time before its own prefill.
   */
  checkStart(
    ctx: RouterContext,
    entry: QueueEntry,
    waitMs: number,
  ): number | undefined;
  /** Rejects waiting requests that have become hopeless. */
  sweep(ctx: RouterContext): void;
}

/** What early rejection asks and whom it tells. */
export interface EarlyRejectionParts {
  queue: RequestQueue;
  strategy: RoutingStrategy;
  decodeTimes: DecodeTimes;
  maxWaiting: number;
  reject(ctx: RouterContext, reqId: string, retryAfterMs: number): void;
}

/** Creates early rejection by deadline and priority. */
export function createEarlyRejection(
  parts: EarlyRejectionParts,
): EarlyRejection {
  const {queue, strategy, decodeTimes} = parts;
  let sweptMs = -Infinity;

  function judge(
    ctx: RouterContext,
    entry: QueueEntry,
    firstTokenMs: number,
  ): number | undefined {
    const neededMs = firstTokenMs * SAFETY + decodeTimes.mean(entry.className);
    const lateMs = neededMs - (entry.deadlineMs - ctx.nowMs);
    if (lateMs <= 0) return undefined;
    return retryAfterMs(lateMs, entry.priority, ctx.random);
  }

  function bestCaseMs(entry: QueueEntry): number {
    return strategy.bestCaseMs(entry.service, entry.promptTokens);
  }

  function checkArrival(
    ctx: RouterContext,
    entry: QueueEntry,
  ): number | undefined {
    const room = parts.maxWaiting * (1 - ROOM_PER_PRIORITY * entry.priority);
    if (queue.size() >= room) {
      return retryAfterMs(0, entry.priority, ctx.random);
    }
    const waitMs = queue.expectedWaitMs(entry, ctx.nowMs);
    return judge(ctx, entry, waitMs + bestCaseMs(entry));
  }

  function checkStart(
    ctx: RouterContext,
    entry: QueueEntry,
    waitMs: number,
  ): number | undefined {
    // Without a learned rate the cost is a guess that must reject nobody.
    const ownMs = bestCaseMs(entry);
    return ownMs > 0 ? judge(ctx, entry, waitMs + ownMs) : undefined;
  }

  function sweep(ctx: RouterContext): void {
    if (ctx.nowMs - sweptMs < SWEEP_MS) return;
    sweptMs = ctx.nowMs;
    for (const entry of [...queue.entries()]) {
      const retryMs = judge(ctx, entry, bestCaseMs(entry));
      if (retryMs !== undefined) parts.reject(ctx, entry.reqId, retryMs);
    }
  }

  return {checkArrival, checkStart, sweep};
}
