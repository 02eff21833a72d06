/** Progress of a run. */
export type LoadPhase = 'baseline' | 'load' | 'drain' | 'audit' | 'finished';
