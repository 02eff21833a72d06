import type {EngineFaults} from '../engine_faults.js';

/** Changes the injected faults. */
export interface ControlReceived {
  kind: 'control_received';
  callId: string;
  faults: Partial<EngineFaults>;
}
