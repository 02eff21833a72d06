import {createGossipQueue} from '../membership/gossip_queue.js';
import type {WorkNotice} from '../router/messages/work_notice.js';
import type {RouterConfig} from '../router/router_config.js';
import type {RouterContext} from '../router/router_context.js';
import type {EndpointDirectory} from './endpoint_directory.js';

/** Gossip of every request to 410 nodes would exceed the network budget. */
const MAX_NOTICES_PER_MESSAGE = 8;
const MAX_QUEUED = 64;
const MAX_SENDS = 6;
/** Older work is covered by load reports. */
const MAX_AGE_MS = 3_000;
/** Work of one long prompt is sent at once instead of with the next probe. */
const URGENT_TOKENS = 50_000;
const SWEEP_INTERVAL_MS = 500;

/** Work that routers sent to endpoints since the last load reports. */
export interface PeerWork {
  /** Records that this router has sent work. */
  sent(endpoint: string, promptTokens: number): void;
  write(ctx: RouterContext): WorkNotice[];
  read(ctx: RouterContext, notices: WorkNotice[]): void;
  reported(ctx: RouterContext, endpoint: string): void;
  hasUrgentUpdates(): boolean;
  urgentUpdatesSent(): void;
  expire(ctx: RouterContext): void;
}

interface QueuedWork {
  notice: WorkNotice;
  createdMs: number;
}

/** Creates an empty record of peer work. */
export function createPeerWork(
  cfg: Pick<RouterConfig, 'address' | 'incarnation'>,
  endpoints: () => EndpointDirectory,
): PeerWork {
  const queue = createGossipQueue<QueuedWork>({
    capacity: MAX_QUEUED,
    compare: (a, b) => b.notice.tokens - a.notice.tokens,
  });
  /** Work by endpoint, then by origin. */
  const peers = new Map<string, Map<string, QueuedWork>>();
  const unannounced = new Set<string>();
  const reportMs = new Map<string, number>();
  let stamp = cfg.incarnation;
  let tokensSinceUrgentSend = 0;
  let nextSweepMs = 0;

  function sent(endpoint: string, promptTokens: number): void {
    unannounced.add(endpoint);
    tokensSinceUrgentSend += promptTokens;
  }

  function collect(ctx: RouterContext): void {
    for (const endpoint of unannounced) {
      const tokens = endpoints().get(endpoint)?.sentTokens ?? 0;
      if (tokens === 0) continue;
      stamp += 1;
      const origin = cfg.address;
      enqueue(ctx.nowMs, {origin, endpoint, tokens, stamp, ageMs: 0});
    }
    unannounced.clear();
  }

  function enqueue(createdMs: number, notice: WorkNotice): QueuedWork {
    const queued = {notice, createdMs};
    queue.put(createdMs, `${notice.origin}|${notice.endpoint}`, queued);
    return queued;
  }

  function write(ctx: RouterContext): WorkNotice[] {
    collect(ctx);
    return queue
      .take(ctx.nowMs, MAX_NOTICES_PER_MESSAGE, MAX_SENDS)
      .map(({notice, createdMs}) => ({
        ...notice,
        ageMs: Math.round(ctx.nowMs - createdMs),
      }))
      .filter(notice => notice.ageMs < MAX_AGE_MS);
  }

  function read(ctx: RouterContext, notices: WorkNotice[]): void {
    for (const notice of notices) {
      const {endpoint, origin} = notice;
      const createdMs = ctx.nowMs - notice.ageMs;
      if (origin === cfg.address || notice.ageMs >= MAX_AGE_MS) continue;
      // The last report already includes the work.
      if (createdMs <= (reportMs.get(endpoint) ?? 0)) continue;
      const byOrigin = peers.get(endpoint) ?? new Map<string, QueuedWork>();
      const known = byOrigin.get(origin);
      if (known && known.notice.stamp >= notice.stamp) continue;
      byOrigin.set(origin, enqueue(createdMs, notice));
      peers.set(endpoint, byOrigin);
      publish(endpoint);
    }
  }

  function publish(endpoint: string): void {
    let tokens = 0;
    const byOrigin = peers.get(endpoint)?.values() ?? [];
    for (const {notice} of byOrigin) tokens += notice.tokens;
    endpoints().setPeerSent(endpoint, tokens);
  }

  function reported(ctx: RouterContext, endpoint: string): void {
    reportMs.set(endpoint, ctx.nowMs);
    if (peers.delete(endpoint)) publish(endpoint);
  }

  function expire(ctx: RouterContext): void {
    if (ctx.nowMs < nextSweepMs) return;
    nextSweepMs = ctx.nowMs + SWEEP_INTERVAL_MS;
    for (const [endpoint, byOrigin] of peers) {
      for (const [origin, {createdMs}] of byOrigin) {
        if (ctx.nowMs - createdMs >= MAX_AGE_MS) byOrigin.delete(origin);
      }
      if (byOrigin.size === 0) peers.delete(endpoint);
      publish(endpoint);
    }
  }

  return {
    sent,
    write,
    read,
    reported,
    hasUrgentUpdates: () => tokensSinceUrgentSend >= URGENT_TOKENS,
    urgentUpdatesSent: () => {
      tokensSinceUrgentSend = 0;
    },
    expire,
  };
}
