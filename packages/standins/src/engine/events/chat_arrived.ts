import type {RemoteReservation} from '../sessions/remote_reservation.js';

/** A chat-completion request, without its prompt text. */
export interface ChatArrived {
  kind: 'chat_arrived';
  callId: string;
  reqId: string;
  /** Written `ADDRESS#INCARNATION`. */
  owner: string;
  /** Model name; empty for any. */
  model: string;
  promptHash: string;
  promptTokens: number;
  prefixHashes: string[];
  maxTokens: number;
  /** Sequence number of the first part to send. */
  resumeFrom: number;
  /** 0 is served first. */
  priority: number;
  /** 0 if the request names none. */
  timeoutMs: number;
  reservations: RemoteReservation[];
}
