import type {RemoteReservation} from '../sessions/remote_reservation.js';

/** A chat-completion request with a hash in place of its prompt text. */
export interface ChatArrived {
  kind: 'chat_arrived';
  callId: string;
  reqId: string;
  /** Written `ADDRESS#INCARNATION`. */
  owner: string;
  /** Model name; empty matches any model. */
  model: string;
  promptHash: string;
  promptTokens: number;
  prefixHashes: string[];
  maxTokens: number;
  /** Sequence number of the first part to send. */
  resumeFrom: number;
  /** 0 is the highest priority. */
  priority: number;
  /** 0 if the request has none. */
  timeoutMs: number;
  reservations: RemoteReservation[];
}
