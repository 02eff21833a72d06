import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {NamedLimit} from './named_limit.js';
import {LIMIT_WINDOW_MS} from './recent_starts.js';
import type {RequestRate} from './request_rate.js';

/** One start of an endpoint. */
type Instance = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

/** Limits of requests that endpoints name, for all gateways together. */
export interface EndpointLimits {
  /**
   * Records what an endpoint says.
   * @returns whether its limit is another one now
   */
  record(endpoint: Instance, limit: NamedLimit): boolean;
  /** Requests a second; undefined if the endpoint names no limit. */
  limitOf(endpoint: Instance): number | undefined;
  /** The limit as a rate; undefined if the endpoint names none. */
  rateOf(endpoint: Instance): RequestRate | undefined;
  /** Drops the limits of endpoints that are not in the set. */
  retain(endpoints: ReadonlySet<string>): void;
}

interface Limit {
  startedAtMs: number;
  requestsPerSecond: number;
}

/** Creates a record without limits. */
export function createEndpointLimits(): EndpointLimits {
  const limits = new Map<string, Limit>();

  function limitOf({id, startedAtMs}: Instance): number | undefined {
    const limit = limits.get(id);
    // A later start of the endpoint has named nothing.
    return limit?.startedAtMs === startedAtMs
      ? limit.requestsPerSecond
      : undefined;
  }

  return {
    record: (endpoint, limit) => {
      const before = limitOf(endpoint);
      if (limit === 'unknown' || limit === (before ?? 'none')) return false;
      const {id, startedAtMs} = endpoint;
      if (limit === 'none') limits.delete(id);
      else limits.set(id, {startedAtMs, requestsPerSecond: limit});
      return true;
    },
    limitOf,
    rateOf: endpoint => {
      const perSecond = limitOf(endpoint);
      if (perSecond === undefined) return undefined;
      return {perSecond, windowMs: LIMIT_WINDOW_MS, sharing: 'at_once'};
    },
    retain: endpoints => {
      for (const id of limits.keys()) {
        if (!endpoints.has(id)) limits.delete(id);
      }
    },
  };
}
