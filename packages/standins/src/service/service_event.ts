import type {ServiceFaults} from './service_faults.js';

/** A call that executes an action. */
export interface CallArrived {
  kind: 'call_arrived';
  callId: string;
  action: string;
  reqId: string;
  /** Empty if the client sent none. */
  idempotencyKey: string;
  /** SHA-256 of the request body, echoed in the answer. */
  bodyHash: string;
}

/** Changes the injected faults. */
export interface ControlReceived {
  kind: 'control_received';
  callId: string;
  faults: Partial<ServiceFaults>;
}

/** Inputs of the service node. */
export type ServiceEvent =
  | CallArrived
  | ControlReceived
  | {kind: 'client_gone'; callId: string}
  | {kind: 'stop_requested'}
  | {kind: 'tick'};
