import type {EndpointNotice} from '../router/messages/endpoint_notice.js';
import type {RouterContext} from '../router/router_context.js';

/** Much longer than a notice circulates. */
const RETENTION_MS = 300_000;
const SWEEP_INTERVAL_MS = 10_000;

/** Numbers own failure notices and detects duplicates of those of peers. */
export interface NoticeStamps {
  next(): number;
  /** Whether the origin has not sent this or a later notice before. */
  isNew(ctx: RouterContext, notice: EndpointNotice): boolean;
  expire(ctx: RouterContext): void;
}

/** Creates stamps that are larger than those of earlier incarnations. */
export function createNoticeStamps(incarnation: number): NoticeStamps {
  const seen = new Map<string, {stamp: number; untilMs: number}>();
  let last = incarnation;
  let nextSweepMs = 0;

  return {
    next: () => (last += 1),
    isNew: (ctx, notice) => {
      const key = `${notice.origin}|${notice.endpoint}`;
      if ((seen.get(key)?.stamp ?? -1) >= notice.stamp) return false;
      const untilMs = ctx.nowMs + RETENTION_MS;
      seen.set(key, {stamp: notice.stamp, untilMs});
      return true;
    },
    expire: ctx => {
      if (ctx.nowMs < nextSweepMs) return;
      nextSweepMs = ctx.nowMs + SWEEP_INTERVAL_MS;
      for (const [key, {untilMs}] of seen) {
        if (untilMs <= ctx.nowMs) seen.delete(key);
      }
    },
  };
}
