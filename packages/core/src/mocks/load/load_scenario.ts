import type {LoadKind} from './load_kind.js';

/** Traffic and faults of one run of the load test. */
export interface LoadScenario {
  name: string;
  /** Traffic of a kind as a multiple of the usual one, at a time of the run. */
  factor(kind: LoadKind, atMs: number): number;
  /** Share of the traffic that the customer `c0` sends. */
  largestShare: number;
  /** Share of the callers that repeat a refusal at once, 3 times. */
  stormShare: number;
  /** Share of the endpoints that are affected from 3 s to 8 s. */
  troubledShare: number;
  /** How many times slower these are; 0 if they cannot be reached. */
  slowdown: number;
  /** Whether all gateways are down from 3 s to 5 s. */
  gatewaysDown: boolean;
}

/** Duration of the traffic of a run. */
export const RUN_MS = 12_000;
/** Start of the disturbance. */
export const FAULT_START_MS = 3_000;
/** End of the disturbance of endpoints. */
export const FAULT_END_MS = 8_000;
/** Time for which all gateways are down. */
export const DOWN_MS = 2_000;

/** Customers and shares are those of usual traffic. */
const USUAL: LoadScenario = {
  name: 'usual',
  factor: () => 1,
  largestShare: 0.25,
  stormShare: 0,
  troubledShare: 0,
  slowdown: 1,
  gatewaysDown: false,
};

/** The scenarios of the load test. */
export const SCENARIOS: LoadScenario[] = [
  {...USUAL, name: 'burst x1.7', factor: burst},
  {...USUAL, name: 'waves', factor: wave},
  {...USUAL, name: 'one customer 60%', largestShare: 0.6, factor: () => 1.6},
  {...USUAL, name: 'repeats', stormShare: 1 / 3, factor: () => 1.6},
  {...USUAL, name: 'unreachable', troubledShare: 1 / 3, slowdown: 0},
  {...USUAL, name: 'slow engines', troubledShare: 1 / 3, slowdown: 4},
  {...USUAL, name: 'gateways down', gatewaysDown: true},
];

function burst(_kind: LoadKind, atMs: number): number {
  const started = atMs >= FAULT_START_MS;
  return started && atMs < FAULT_START_MS + 3_000 ? 1.7 : 1;
}

/** Bulk for the first half of the run, then short requests. */
function wave(kind: LoadKind, atMs: number): number {
  const bulk = kind === 'long' || kind === 'medium';
  if (atMs < RUN_MS / 2) return bulk ? 2.8 : 1;
  return bulk ? 1 : 2.5;
}
