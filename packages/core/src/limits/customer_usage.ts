import {Err, Ok, type Result} from '../shared/result.js';
import {createDemandMeter} from './demand_meter.js';
import type {DemandEntry} from './demand_entry.js';
import type {LimitAmounts} from './limit_amounts.js';
import type {LimitRefusal} from './limit_refusal.js';
import type {ShareEntry} from './share_entry.js';
import {SHARE_LIFETIME_MS} from './share_lifetime.js';
import {BURST_S, createTokenBucket, type TokenBucket} from './token_bucket.js';

/** By then a share that follows the increased demand has arrived. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;
/** No shares are requested for a customer without demand for this time. */
const IDLE_TIMEOUT_MS = 5_000;

/** Tracks the use of one customer's limits by this router. */
export interface CustomerUsage {
  /** `fallback` applies if no share is held. */
  admit(
    nowMs: number,
    limits: LimitAmounts,
    fallback: LimitAmounts,
    tokens: number,
  ): Result<void, LimitRefusal>;
  release(): void;
  /** Applies a share unless a newer one is held. */
  applyShare(askedMs: number, entry: ShareEntry): void;
  /** Amounts that apply now. */
  amounts(nowMs: number, fallback: LimitAmounts): LimitAmounts;
  demand(nowMs: number, customer: string): DemandEntry;
  /** Whether a new share is useful and due. */
  isShareDue(nowMs: number): boolean;
  /** Refills the buckets; returns whether the usage can be discarded. */
  refillAndCheckIdle(nowMs: number, fallback: LimitAmounts): boolean;
}

/** Creates the usage of a customer without requests. */
export function createCustomerUsage(
  nowMs: number,
  fallback: LimitAmounts,
): CustomerUsage {
  const requests = createTokenBucket(nowMs, fallback.requests);
  const tokens = createTokenBucket(nowMs, fallback.tokens);
  const meter = createDemandMeter(nowMs);
  let held: {askedMs: number; entry: ShareEntry} | undefined;
  let inFlight = 0;
  let lastDemandMs = nowMs;

  function amounts(nowMs: number, fallback: LimitAmounts): LimitAmounts {
    if (held && nowMs >= held.askedMs + SHARE_LIFETIME_MS) held = undefined;
    return held?.entry.share ?? fallback;
  }

  function refill(nowMs: number, fallback: LimitAmounts): LimitAmounts {
    const current = amounts(nowMs, fallback);
    requests.refill(nowMs, current.requests);
    tokens.refill(nowMs, current.tokens);
    return current;
  }

  function admit(
    nowMs: number,
    limits: LimitAmounts,
    fallback: LimitAmounts,
    cost: number,
  ): Result<void, LimitRefusal> {
    lastDemandMs = nowMs;
    meter.add(nowMs, cost, inFlight + 1);
    const current = refill(nowMs, fallback);
    if (limits.concurrency > 0 && inFlight >= current.concurrency) {
      return Err({code: 'limit_concurrency', retryAfterMs: MIN_RETRY_AFTER_MS});
    }
    if (limits.requests > 0 && requests.level() <= 0) {
      const retryAfterMs = computeRetryAfterMs(
        requests.level(),
        current.requests,
      );
      return Err({code: 'limit_requests', retryAfterMs});
    }
    if (limits.tokens > 0 && tokens.level() <= 0) {
      const retryAfterMs = computeRetryAfterMs(tokens.level(), current.tokens);
      return Err({code: 'limit_tokens', retryAfterMs});
    }
    if (limits.requests > 0) requests.take(1);
    if (limits.tokens > 0) tokens.take(cost);
    inFlight += 1;
    return Ok(undefined);
  }

  function isShareDue(nowMs: number): boolean {
    if (inFlight === 0 && nowMs >= lastDemandMs + IDLE_TIMEOUT_MS) return false;
    return !held || nowMs >= held.askedMs + held.entry.askAfterMs;
  }

  function refillAndCheckIdle(nowMs: number, fallback: LimitAmounts): boolean {
    if (inFlight > 0 || nowMs < lastDemandMs + IDLE_TIMEOUT_MS) return false;
    const current = refill(nowMs, fallback);
    // Kept until full: a new usage would start without the debt.
    return isFull(requests, current.requests) && isFull(tokens, current.tokens);
  }

  return {
    admit,
    release: () => {
      inFlight = Math.max(0, inFlight - 1);
    },
    applyShare: (askedMs, entry) => {
      if (held && askedMs <= held.askedMs) return;
      held = {askedMs, entry};
    },
    amounts,
    demand: (nowMs, customer) => ({
      customer,
      wanted: meter.peakDemand(nowMs, inFlight),
      inFlight,
      heldMs: held?.askedMs ?? -1,
    }),
    isShareDue,
    refillAndCheckIdle,
  };
}

function isFull(bucket: TokenBucket, rate: number): boolean {
  return rate === 0 || bucket.level() >= rate * BURST_S;
}

function computeRetryAfterMs(level: number, rate: number): number {
  const ms = rate > 0 ? Math.ceil((-level / rate) * 1_000) : MIN_RETRY_AFTER_MS;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
}
