import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {grantedPauseMs} from './granted_pause.js';

/** One start of an endpoint. */
type Instance = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

/** Pauses that overloaded endpoints asked this gateway for. */
export interface EndpointPauses {
  /**
   * Records a pause from now on; a longer one that is recorded stays in force.
   * @returns remaining pause, in milliseconds
   */
  record(nowMs: number, endpoint: Instance, pauseMs: number): number;
  /** Steady clock; end of the pause, in the past if there is none. */
  endMs(endpoint: Instance): number;
  isPaused(endpoint: Instance, nowMs: number): boolean;
  /** Drops the pauses of endpoints that are not in the set. */
  retain(endpoints: ReadonlySet<string>): void;
}

interface Pause {
  startedAtMs: number;
  untilMs: number;
}

/** Creates an empty set of pauses. */
export function createEndpointPauses(): EndpointPauses {
  const pauses = new Map<string, Pause>();

  function endMs({id, startedAtMs}: Instance): number {
    const pause = pauses.get(id);
    // A later start of the endpoint has not asked for anything.
    return pause?.startedAtMs === startedAtMs ? pause.untilMs : -Infinity;
  }

  return {
    record: (nowMs, endpoint, pauseMs) => {
      const {id, startedAtMs} = endpoint;
      const askedMs = nowMs + grantedPauseMs(pauseMs);
      const untilMs = Math.max(askedMs, endMs(endpoint));
      pauses.set(id, {startedAtMs, untilMs});
      return untilMs - nowMs;
    },
    endMs,
    isPaused: (endpoint, nowMs) => endMs(endpoint) > nowMs,
    retain: endpoints => {
      for (const id of pauses.keys()) {
        if (!endpoints.has(id)) pauses.delete(id);
      }
    },
  };
}
