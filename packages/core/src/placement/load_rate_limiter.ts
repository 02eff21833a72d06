import type {WeightsSettled} from './events/weights_settled.js';
import type {PlacerContext} from './placer_context.js';

const MAX_BACKOFF_MS = 30_000;
/** A load whose model is still not reported after this needs a new grant. */
const GRANT_LIFETIME_MS = 120_000;
/** Longer than the store takes for any answer. */
const ANSWER_TIMEOUT_MS = 90_000;

/** Limits model loads to the rate of the weight store. */
export interface LoadRateLimiter {
  /**
   * Whether the load may be ordered; if not, requests a grant from the weight
   * store once the rate allows it.
   */
  tryTake(ctx: PlacerContext, endpoint: string, model: string): boolean;
  settled(ctx: PlacerContext, event: WeightsSettled): void;
  /** Drops the grants of an engine that has restarted. */
  forget(endpoint: string): void;
}

interface Grant {
  endpoint: string;
  model: string;
  state: 'requested' | 'granted';
  atMs: number;
}

/**
 * Creates a limiter; its first request comes after a random part of the
 * interval. Random intervals keep many engines that restart together, and
 * successive lease holders, from reaching the store at once.
 */
export function createLoadRateLimiter(
  intervalMs: number,
  startMs: number,
  token: number,
): LoadRateLimiter {
  const grants = new Map<string, Grant>();
  let sequence = 0;
  let nextRequestMs: number | undefined;
  let refusals = 0;

  function tryTake(
    ctx: PlacerContext,
    endpoint: string,
    model: string,
  ): boolean {
    const {nowMs} = ctx;
    nextRequestMs ??= startMs + intervalMs * ctx.random();
    const found = find(endpoint, model);
    if (found) {
      const [requestId, grant] = found;
      const requested = grant.state === 'requested';
      const lifetimeMs = requested ? ANSWER_TIMEOUT_MS : GRANT_LIFETIME_MS;
      if (nowMs - grant.atMs < lifetimeMs) return !requested;
      grants.delete(requestId);
    }
    if (nowMs < nextRequestMs) return false;
    nextRequestMs = nowMs + intervalMs * (0.5 + ctx.random());
    sequence += 1;
    const requestId = `weights-${token}-${sequence}`;
    grants.set(requestId, {endpoint, model, state: 'requested', atMs: nowMs});
    ctx.emit({kind: 'request_weights', requestId, model});
    return false;
  }

  function find(endpoint: string, model: string): [string, Grant] | undefined {
    return [...grants].find(
      ([, grant]) => grant.endpoint === endpoint && grant.model === model,
    );
  }

  function settled(ctx: PlacerContext, event: WeightsSettled): void {
    const grant = grants.get(event.requestId);
    if (!grant) return;
    if (event.granted) {
      refusals = 0;
      grant.state = 'granted';
      grant.atMs = ctx.nowMs;
      return;
    }
    grants.delete(event.requestId);
    refusals += 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, intervalMs * 2 ** refusals);
    nextRequestMs = ctx.nowMs + backoffMs * (0.5 + 0.5 * ctx.random());
    const {endpoint, model} = grant;
    const fields = {endpoint, model, retryMs: nextRequestMs - ctx.nowMs};
    ctx.emit({kind: 'write_log', event: 'WL6005', fields});
  }

  function forget(endpoint: string): void {
    for (const [id, grant] of grants) {
      if (grant.endpoint === endpoint) grants.delete(id);
    }
  }

  return {tryTake, settled, forget};
}
