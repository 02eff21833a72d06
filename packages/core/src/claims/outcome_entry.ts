import type {RecordedOutcome} from './recorded_outcome.js';

/** Outcome of a claim as it is stored in a partition's stream. */
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
