/**
 * What an estimate is about: the logarithm of the length of answers, of their
 * length by what the caller declared, of the service time of calls in
 * milliseconds, and of the slowness of an endpoint.
 */
export type EstimateTable = 'length' | 'declared' | 'service' | 'slowness';

/** Tables in the order of their numbers in messages between gateways. */
export const ESTIMATE_TABLES: readonly EstimateTable[] = [
  'length',
  'declared',
  'service',
  'slowness',
];
