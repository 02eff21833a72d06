import type {RouterContext} from '../router/router_context.js';
import type {RoutingStrategy} from '../routing/routing_strategy.js';
import type {DecodeTimes} from './decode_times.js';
import type {QueueEntry} from './queue_entry.js';
import type {RequestQueue} from './request_queue.js';
import {retryAfterMs} from './retry_after.js';

/** Pause between two sweeps over the waiting requests. */
const SWEEP_INTERVAL_MS = 50;
/** Factor on estimates: one that is too short would start work in vain. */
const SAFETY_FACTOR = 1.2;
/** Share of the queue that each level of priority leaves free. */
const FREE_SHARE_PER_PRIORITY = 0.05;

/** Rejects requests that cannot finish in time before they use an engine. */
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
  /** Rejects waiting requests that cannot finish in time any more. */
  sweep(ctx: RouterContext): void;
}

/** Dependencies of early rejection. */
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
  let lastSweepMs = -Infinity;

  function retryAfterIfLate(
    ctx: RouterContext,
    entry: QueueEntry,
    firstTokenMs: number,
  ): number | undefined {
    const neededMs =
      firstTokenMs * SAFETY_FACTOR + decodeTimes.mean(entry.className);
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
    const limit =
      parts.maxWaiting * (1 - FREE_SHARE_PER_PRIORITY * entry.priority);
    if (queue.size() >= limit) {
      return retryAfterMs(0, entry.priority, ctx.random);
    }
    const waitMs = queue.expectedWaitMs(entry, ctx.nowMs);
    return retryAfterIfLate(ctx, entry, waitMs + bestCaseMs(entry));
  }

  function checkStart(
    ctx: RouterContext,
    entry: QueueEntry,
    waitMs: number,
  ): number | undefined {
    // Without an observed rate the cost is a guess, which must reject no one.
    const ownMs = bestCaseMs(entry);
    return ownMs > 0 ? retryAfterIfLate(ctx, entry, waitMs + ownMs) : undefined;
  }

  function sweep(ctx: RouterContext): void {
    if (ctx.nowMs - lastSweepMs < SWEEP_INTERVAL_MS) return;
    lastSweepMs = ctx.nowMs;
    for (const entry of [...queue.entries()]) {
      const retryMs = retryAfterIfLate(ctx, entry, bestCaseMs(entry));
      if (retryMs !== undefined) parts.reject(ctx, entry.reqId, retryMs);
    }
  }

  return {checkArrival, checkStart, sweep};
}
