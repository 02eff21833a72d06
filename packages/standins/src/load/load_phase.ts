/**
 * Phase of a run. `baseline`: single requests on an idle fleet. `load`: sends
 * the mix. `drain`: waits for open requests. `audit`: reads executions.
 */
export type LoadPhase = 'baseline' | 'load' | 'drain' | 'audit' | 'finished';
