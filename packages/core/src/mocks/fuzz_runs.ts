import process from 'node:process';

/** Parameters of a property test. */
export interface FuzzRuns {
  seed: number;
  numRuns: number;
}

/**
 * Fixed seed and `numRuns` runs; `WL_FUZZ_RUNS` multiplies the number of runs
 * and `WL_FUZZ_SEED` replaces the seed.
 */
export function fuzzRuns(numRuns: number): FuzzRuns {
  const factor = Number(process.env['WL_FUZZ_RUNS'] ?? 1);
  const seed = Number(process.env['WL_FUZZ_SEED'] ?? 1);
  return {seed, numRuns: numRuns * factor};
}
