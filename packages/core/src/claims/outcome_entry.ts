import type {RecordedOutcome} from './recorded_outcome.js';

/** Outcome of a claim as a partition's stream holds it. */
export interface OutcomeEntry {
  type: 'outcome';
  claimId: string;
  /** Customer and idempotency key, written `CUSTOMER/UUID`. */
  key: string;
  /** Peer address of the owner router. */
  owner: string;
  incarnation: number;
  outcome: RecordedOutcome;
}
