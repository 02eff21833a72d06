import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {HealthRecord} from './health_record.js';

/** Ejection time after a first failure; doubles with each further one. */
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 6_000;
/** Time after a success in which failures seen by peers are ignored. */
const SUCCESS_OVERRIDES_PEERS_MS = 300;
/** Time for a trial request to show whether the endpoint has recovered. */
const TRIAL_MS = 700;
const NEVER_MS = Number.NEGATIVE_INFINITY;
/** Weight of the newest observation of an endpoint's slowdown. */
const SLOWDOWN_WEIGHT = 0.4;
const MIN_SLOWDOWN = 1;
const MAX_SLOWDOWN = 8;

/** One start of an endpoint. */
type Instance = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

/** Tracks the health of endpoints by the outcomes of recent attempts. */
export interface EndpointHealth {
  /**
   * Records a failure that a healthy endpoint does not cause.
   * @returns time for which the endpoint is ejected, in milliseconds
   */
  recordFailure(ctx: GatewayContext, endpoint: string, reason: string): number;
  recordSuccess(endpoint: string, nowMs: number): void;
  /** Records that another gateway could not reach the endpoint. */
  recordPeerFailure(endpoint: string, pauseMs: number, nowMs: number): void;
  /** Whether the endpoint gets no new work for now. */
  isEjected(endpoint: string, nowMs: number): boolean;
  /** Records an attempt; after a failure, the first one is a trial. */
  recordAttempt(endpoint: string, nowMs: number): void;
  /** Updates the slowdown by a stream's shortest gap and its baseline. */
  observeGap(endpoint: string, gapMs: number, baselineMs: number): void;
  /** How many times slower than its profile the endpoint is. */
  slowdown(endpoint: string): number;
  /** Health record of an endpoint, or that of one without any attempt. */
  record(endpoint: string): Readonly<HealthRecord>;
  /** Drops the records of other endpoints, and of earlier starts of these. */
  retain(endpoints: readonly Instance[]): void;
}

/** Creates an endpoint health without records. */
export function createEndpointHealth(): EndpointHealth {
  const records = new Map<string, HealthRecord>();
  /** Start of each endpoint, Unix milliseconds. */
  let startedAtMs = new Map<string, number>();

  function recordOf(endpoint: string): HealthRecord {
    let record = records.get(endpoint);
    if (!record) {
      record = newRecord();
      records.set(endpoint, record);
    }
    return record;
  }

  function recordFailure(
    ctx: GatewayContext,
    endpoint: string,
    reason: string,
  ): number {
    const record = recordOf(endpoint);
    record.failures += 1;
    record.lastFailure = reason;
    const pauseMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** (record.failures - 1),
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
    gapMs: number,
    baselineMs: number,
  ): void {
    if (baselineMs <= 0) return;
    const ratio = gapMs / baselineMs;
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio));
    const record = recordOf(endpoint);
    record.slowdown += (bounded - record.slowdown) * SLOWDOWN_WEIGHT;
  }

  return {
    recordFailure,
    recordSuccess: (endpoint, nowMs) => {
      const record = recordOf(endpoint);
      record.failures = 0;
      record.ejectedUntilMs = NEVER_MS;
      record.lastSuccessMs = nowMs;
    },
    recordPeerFailure: (endpoint, pauseMs, nowMs) => {
      const record = recordOf(endpoint);
      // A recent success at this gateway outweighs a peer's failure.
      if (nowMs - record.lastSuccessMs < SUCCESS_OVERRIDES_PEERS_MS) return;
      record.failures = Math.max(1, record.failures);
      record.lastFailure = 'doubted by a peer';
      const untilMs = nowMs + Math.min(pauseMs, MAX_EJECTION_MS);
      record.ejectedUntilMs = Math.max(record.ejectedUntilMs, untilMs);
    },
    isEjected,
    recordAttempt: (endpoint, nowMs) => {
      const record = records.get(endpoint);
      if (record && record.failures > 0) record.lastAttemptMs = nowMs;
    },
    observeGap,
    slowdown: endpoint => records.get(endpoint)?.slowdown ?? 1,
    record: endpoint => records.get(endpoint) ?? newRecord(),
    retain: endpoints => {
      const before = startedAtMs;
      startedAtMs = new Map(
        endpoints.map(entry => [entry.id, entry.startedAtMs]),
      );
      for (const endpoint of records.keys()) {
        const start = startedAtMs.get(endpoint);
        const known = before.get(endpoint) ?? start;
        if (start === undefined || start !== known) records.delete(endpoint);
      }
    },
  };
}

function newRecord(): HealthRecord {
  return {
    failures: 0,
    lastFailure: '',
    ejectedUntilMs: NEVER_MS,
    lastSuccessMs: NEVER_MS,
    lastAttemptMs: NEVER_MS,
    slowdown: 1,
  };
}
