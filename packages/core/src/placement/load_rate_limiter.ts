import type {WeightsSettled} from './events/weights_settled.js';
import type {PlacerContext} from './placer_context.js';

const MAX_BACKOFF_MS = 30_000;
/** A load whose model has not appeared after this asks the store again. */
const GRANT_LASTS_MS = 120_000;
/** Longer than any answer of the store. */
const ANSWER_TIMEOUT_MS = 90_000;

/** Keeps loads within the rate of the weight store. */
export interface LoadRateLimiter {
  /** Whether the load may be ordered; if not, asks when its turn comes. */
  tryTake(ctx: PlacerContext, endpoint: string, model: string): boolean;
  settled(ctx: PlacerContext, event: WeightsSettled): void;
  /** Forgets the grants of an engine that has restarted. */
  forget(endpoint: string): void;
}

interface Grant {
  endpoint: string;
  model: string;
  state: 'asked' | 'granted';
  atMs: number;
}

/**
 * Creates a limiter; its first load comes after a random part of the interval.
 * Random distances keep many engines that restart together, and holders that
 * follow each other, from reaching the store at once.
 */
export function createLoadRateLimiter(
  intervalMs: number,
  startMs: number,
  token: number,
): LoadRateLimiter {
  const grants = new Map<string, Grant>();
  let sequence = 0;
  let nextAskMs: number | undefined;
  let refusals = 0;

  function tryTake(
    ctx: PlacerContext,
    endpoint: string,
    model: string,
  ): boolean {
    const {nowMs} = ctx;
    nextAskMs ??= startMs + intervalMs * ctx.random();
    const found = find(endpoint, model);
    if (found) {
      const [requestId, grant] = found;
      const asked = grant.state === 'asked';
      const lastsMs = asked ? ANSWER_TIMEOUT_MS : GRANT_LASTS_MS;
      if (nowMs - grant.atMs < lastsMs) return !asked;
      grants.delete(requestId);
    }
    if (nowMs < nextAskMs) return false;
    nextAskMs = nowMs + intervalMs * (0.5 + ctx.random());
    sequence += 1;
    const requestId = `weights-${token}-${sequence}`;
    grants.set(requestId, {endpoint, model, state: 'asked', atMs: nowMs});
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
    nextAskMs = ctx.nowMs + backoffMs * (0.5 + 0.5 * ctx.random());
    const {endpoint, model} = grant;
    const fields = {endpoint, model, retryMs: nextAskMs - ctx.nowMs};
    ctx.emit({kind: 'write_log', event: 'WL6005', fields});
  }

  function forget(endpoint: string): void {
    for (const [id, grant] of grants) {
      if (grant.endpoint === endpoint) grants.delete(id);
    }
  }

  return {tryTake, settled, forget};
}
