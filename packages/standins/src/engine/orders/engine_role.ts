/** Phases of inference that an engine serves. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';
