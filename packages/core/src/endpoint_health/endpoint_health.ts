import type {GatewayContext} from '../gateway/gateway_context.js';
import type {HealthRecord} from './health_record.js';

/** First time that a failing endpoint gets no work; doubles each time. */
const FIRST_PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 6_000;
/** A peer's doubt does not count this long after an own success. */
const SOUND_FOR_MS = 300;
/** Time in which a trial shows whether the endpoint is back. */
const TRIAL_MS = 700;
const NEVER_MS = Number.NEGATIVE_INFINITY;
/** Weight of the newest observation of an endpoint's slowdown. */
const SLOWDOWN_WEIGHT = 0.4;
const MIN_SLOWDOWN = 1;
const MAX_SLOWDOWN = 8;

/** How endpoints have answered lately. */
export interface EndpointHealth {
  /**
   * An attempt failed in a way that a sound endpoint does not show.
   * @returns time for which the endpoint gets no work, in milliseconds
   */
  recordFailure(ctx: GatewayContext, endpoint: string, reason: string): number;
  recordSuccess(endpoint: string, nowMs: number): void;
  /** Another gateway could not reach the endpoint. */
  recordPeerFailure(endpoint: string, pauseMs: number, nowMs: number): void;
  /** Whether the endpoint gets no work for now. */
  isEjected(endpoint: string, nowMs: number): boolean;
  /** Work goes to the endpoint; after a failure, one request tries it first. */
  recordAttempt(endpoint: string, nowMs: number): void;
  /** Compares the shortest pause of a stream with what the profile says. */
  observeGap(endpoint: string, pauseMs: number, usualMs: number): void;
  /** How many times slower than its profile the endpoint is. */
  slowdown(endpoint: string): number;
  /** Everything that is known of an endpoint's answers. */
  record(endpoint: string): HealthRecord;
  /** Forgets endpoints that are not in the set. */
  retain(endpoints: ReadonlySet<string>): void;
}

/** Creates the health of endpoints of which nothing is known. */
export function createEndpointHealth(): EndpointHealth {
  const records = new Map<string, HealthRecord>();

  function of(endpoint: string): HealthRecord {
    let record = records.get(endpoint);
    if (!record) {
      record = {
        failures: 0,
        lastFailure: '',
        ejectedUntilMs: NEVER_MS,
        lastSuccessMs: NEVER_MS,
        lastAttemptMs: NEVER_MS,
        slowdown: 1,
      };
      records.set(endpoint, record);
    }
    return record;
  }

  function recordFailure(
    ctx: GatewayContext,
    endpoint: string,
    reason: string,
  ): number {
    const record = of(endpoint);
    record.failures += 1;
    record.lastFailure = reason;
    const pauseMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (record.failures - 1),
    );
    record.ejectedUntilMs = ctx.nowMs + pauseMs;
    const fields = {endpoint, reason, failures: record.failures, pauseMs};
    ctx.emit({kind: 'write_log', event: 'WL8201', fields});
    return pauseMs;
  }

  function isEjected(endpoint: string, nowMs: number): boolean {
    const record = records.get(endpoint);
    if (!record || record.failures === 0) return false;
    const onTrial = nowMs - record.lastAttemptMs < TRIAL_MS;
    return onTrial || record.ejectedUntilMs > nowMs;
  }

  function observeGap(
    endpoint: string,
    pauseMs: number,
    usualMs: number,
  ): void {
    if (usualMs <= 0) return;
    const ratio = pauseMs / usualMs;
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio));
    const record = of(endpoint);
    record.slowdown += (bounded - record.slowdown) * SLOWDOWN_WEIGHT;
  }

  return {
    recordFailure,
    recordSuccess: (endpoint, nowMs) => {
      const record = of(endpoint);
      record.failures = 0;
      record.ejectedUntilMs = NEVER_MS;
      record.lastSuccessMs = nowMs;
    },
    recordPeerFailure: (endpoint, pauseMs, nowMs) => {
      const record = of(endpoint);
      // What this gateway has seen itself counts for more.
      if (nowMs - record.lastSuccessMs < SOUND_FOR_MS) return;
      record.failures = Math.max(1, record.failures);
      record.lastFailure = 'doubted by a peer';
      const untilMs = nowMs + Math.min(pauseMs, LONGEST_PAUSE_MS);
      record.ejectedUntilMs = Math.max(record.ejectedUntilMs, untilMs);
    },
    isEjected,
    recordAttempt: (endpoint, nowMs) => {
      const record = records.get(endpoint);
      if (record && record.failures > 0) record.lastAttemptMs = nowMs;
    },
    observeGap,
    slowdown: endpoint => records.get(endpoint)?.slowdown ?? 1,
    record: of,
    retain: endpoints => {
      for (const endpoint of records.keys()) {
        if (!endpoints.has(endpoint)) records.delete(endpoint);
      }
    },
  };
}
