/**
 * Whether a request may be sent to an engine. `trial`: as the only one with
 * its suspected causes, apart from others. `wait`: another one is on trial.
 */
export type PromptAdmission = 'send' | 'trial' | 'wait' | 'refuse';
