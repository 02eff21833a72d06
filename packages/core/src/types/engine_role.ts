/** What part of the work an engine takes. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';
