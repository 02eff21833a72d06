import type {PlacerConfig} from '../placer_config.js';

/** Settings with short times, so that many schedules can be run. */
export function placerConfig(holder = 'vm-1#1'): PlacerConfig {
  return {
    lease: {holder, durationMs: 1_000},
    placement: {
      streamsPerReplica: 32,
      queuedTokensPerReplica: 40_000,
      demandWindowMs: 1_000,
      shrinkAfterMs: 500,
      loadIntervalMs: 100,
      startJitterMs: 200,
    },
  };
}
