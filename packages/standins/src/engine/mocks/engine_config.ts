import type {EngineConfig} from '../engine_config.js';

/** Engine with 0.1 ms per prefilled and 10 ms per decoded token. */
export function engineConfig(
  overrides: Partial<EngineConfig> = {},
): EngineConfig {
  return {
    incarnation: 'i1',
    kvCapacityTokens: 100_000,
    timeScale: 1,
    cost: {
      linearMsPerToken: 0.1,
      quadraticMs: 1e-7,
      decodeBaseMs: 10,
      decodeStreamMs: 0.5,
    },
    chunkTokens: 512,
    maxBatch: 16,
    maxQueued: 32,
    usePriorities: true,
    maxStreamMs: 600_000,
    reportIntervalMs: 10,
    reportLagMs: 0,
    cacheEventDelayMs: 100,
    cacheEventLoss: 0,
    checksFencing: true,
    models: ['coder@1'],
    role: 'mixed',
    modelLoadMs: 1_000,
    ...overrides,
  };
}
