import type {EngineFaults} from '../engine_faults.js';

/** A test changes the faults. */
export interface ControlReceived {
  kind: 'control_received';
  callId: string;
  faults: Partial<EngineFaults>;
}
