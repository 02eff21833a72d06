import type {EndpointKind} from '../../types/endpoint_kind.js';

/** Sends a request to an endpoint. */
export interface StartAttempt {
  kind: 'start_attempt';
  reqId: string;
  attempt: number;
  endpoint: string;
  endpointKind: EndpointKind;
  url: string;
  service: string;
  /** Sequence number of the first part to send. */
  resumeFrom: number;
  priority: number;
  /** Remaining time in milliseconds. */
  timeoutMs: number;
  /** Monotonic time after which nothing may be sent. */
  notAfterMs: number;
  /** Sessions reserved for a prompt larger than one engine. */
  reservations: AttemptReservation[];
}

/** KV memory reserved on one engine for an attempt. */
export interface AttemptReservation {
  endpoint: string;
  url: string;
  sessionId: string;
  tokens: number;
}
