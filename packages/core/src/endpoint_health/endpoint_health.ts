import type {GatewayContext} from '../gateway/gateway_context.js';
import type {HealthStanding} from './health_standing.js';

/** First time that a failing endpoint gets no work; doubles each time. */
const FIRST_PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 6_000;
/** A peer's doubt does not count this long after an own success. */
const SOUND_FOR_MS = 300;
/** Time in which a trial shows whether the endpoint is back. */
const TRIAL_MS = 700;
const NEVER_MS = Number.NEGATIVE_INFINITY;
/** Weight of the newest observation of an endpoint's pace. */
const PACE_WEIGHT = 0.4;
const FASTEST_PACE = 1;
const SLOWEST_PACE = 8;

/** How endpoints have answered lately. */
export interface EndpointHealth {
  /**
   * An attempt failed in a way that a sound endpoint does not show.
   * @returns time for which the endpoint gets no work, in milliseconds
   */
  failed(ctx: GatewayContext, endpoint: string, reason: string): number;
  succeeded(endpoint: string, nowMs: number): void;
  /** Another gateway could not reach the endpoint. */
  doubted(endpoint: string, pauseMs: number, nowMs: number): void;
  /** Whether the endpoint gets no work for now. */
  aside(endpoint: string, nowMs: number): boolean;
  /** Work goes to the endpoint; after a failure, one request tries it first. */
  tried(endpoint: string, nowMs: number): void;
  /** Compares the shortest pause of a stream with what the profile says. */
  observed(endpoint: string, pauseMs: number, usualMs: number): void;
  /** How many times slower than its profile the endpoint is. */
  pace(endpoint: string): number;
  /** Everything that is known of an endpoint's answers. */
  standing(endpoint: string): HealthStanding;
  /** Forgets endpoints that are not in the set. */
  keep(endpoints: ReadonlySet<string>): void;
}

/** Creates the health of endpoints of which nothing is known. */
export function createEndpointHealth(): EndpointHealth {
  const standings = new Map<string, HealthStanding>();

  function of(endpoint: string): HealthStanding {
    let standing = standings.get(endpoint);
    if (!standing) {
      standing = {
        failures: 0,
        lastFailure: '',
        asideUntilMs: NEVER_MS,
        soundMs: NEVER_MS,
        triedMs: NEVER_MS,
        pace: 1,
      };
      standings.set(endpoint, standing);
    }
    return standing;
  }

  function failed(
    ctx: GatewayContext,
    endpoint: string,
    reason: string,
  ): number {
    const standing = of(endpoint);
    standing.failures += 1;
    standing.lastFailure = reason;
    const pauseMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (standing.failures - 1),
    );
    standing.asideUntilMs = ctx.nowMs + pauseMs;
    const fields = {endpoint, reason, failures: standing.failures, pauseMs};
    ctx.emit({kind: 'write_log', event: 'WL8201', fields});
    return pauseMs;
  }

  function aside(endpoint: string, nowMs: number): boolean {
    const standing = standings.get(endpoint);
    if (!standing || standing.failures === 0) return false;
    const onTrial = nowMs - standing.triedMs < TRIAL_MS;
    return onTrial || standing.asideUntilMs > nowMs;
  }

  function observed(endpoint: string, pauseMs: number, usualMs: number): void {
    if (usualMs <= 0) return;
    const ratio = pauseMs / usualMs;
    const bounded = Math.min(SLOWEST_PACE, Math.max(FASTEST_PACE, ratio));
    const standing = of(endpoint);
    standing.pace += (bounded - standing.pace) * PACE_WEIGHT;
  }

  return {
    failed,
    succeeded: (endpoint, nowMs) => {
      const standing = of(endpoint);
      standing.failures = 0;
      standing.asideUntilMs = NEVER_MS;
      standing.soundMs = nowMs;
    },
    doubted: (endpoint, pauseMs, nowMs) => {
      const standing = of(endpoint);
      // What this gateway has seen itself counts for more.
      if (nowMs - standing.soundMs < SOUND_FOR_MS) return;
      standing.failures = Math.max(1, standing.failures);
      standing.lastFailure = 'doubted by a peer';
      const untilMs = nowMs + Math.min(pauseMs, LONGEST_PAUSE_MS);
      standing.asideUntilMs = Math.max(standing.asideUntilMs, untilMs);
    },
    aside,
    tried: (endpoint, nowMs) => {
      const standing = standings.get(endpoint);
      if (standing && standing.failures > 0) standing.triedMs = nowMs;
    },
    observed,
    pace: endpoint => standings.get(endpoint)?.pace ?? 1,
    standing: of,
    keep: endpoints => {
      for (const endpoint of standings.keys()) {
        if (!endpoints.has(endpoint)) standings.delete(endpoint);
      }
    },
  };
}
