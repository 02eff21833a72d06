import type {AnswerIdentity} from './answer_identity.js';

/** What the result of an attempt rests on, for logs and metrics. */
export interface AttemptEvidence {
  /** Number of the connection in this process; 0 if there was none. */
  connection: number;
  /** Requests that the connection carried before this one. */
  earlierRequests: number;
  answer: AnswerIdentity;
}

/** Of an attempt that had no connection. */
export const NO_EVIDENCE: AttemptEvidence = {
  connection: 0,
  earlierRequests: 0,
  answer: 'none',
};
