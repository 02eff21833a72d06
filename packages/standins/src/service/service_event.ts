import type {ServiceFaults} from './service_faults.js';

/** A call to run an action. */
export interface CallArrived {
  kind: 'call_arrived';
  callId: string;
  action: string;
  reqId: string;
  /** Empty if the client sent none. */
  idempotencyKey: string;
  /** Hash of the body, which the answer repeats. */
  bodyHash: string;
}

/** A test changes the faults. */
export interface ControlReceived {
  kind: 'control_received';
  callId: string;
  faults: Partial<ServiceFaults>;
}

/** Everything that can happen to a service. */
export type ServiceEvent =
  | CallArrived
  | ControlReceived
  | {kind: 'client_gone'; callId: string}
  | {kind: 'stop_requested'}
  | {kind: 'tick'};
