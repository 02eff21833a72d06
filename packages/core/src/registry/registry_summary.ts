import type {RegisteredEndpoint} from './registered_endpoint.js';

/**
 * What two gateways that have read the same records agree on. Differing
 * summaries show that one of them knows other endpoints than the store.
 */
export interface RegistrySummary {
  /** Number of registered endpoints, leaving ones included. */
  endpoints: number;
  /** Sum of their start times in Unix milliseconds, modulo 2^32. */
  startSumMs: number;
}

/** Sums of start times are kept small, whatever an entry claims. */
const SUM_MODULUS = 2 ** 32;

/** Summarizes the endpoints that are not gone. */
export function summarize(present: RegisteredEndpoint[]): RegistrySummary {
  // A gateway that starts later knows nothing of an unreadable endpoint.
  const entries = present
    .filter(({state}) => state !== 'unreadable')
    .map(({entry}) => entry);
  const startSumMs = entries.reduce(
    (sum, {startedAtMs}) => (sum + (startedAtMs % SUM_MODULUS)) % SUM_MODULUS,
    0,
  );
  return {endpoints: entries.length, startSumMs};
}
