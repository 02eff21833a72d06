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
