/** Phases of a request that an engine runs. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';
