import type {ClaimEntry} from './claim_entry.js';

/** A claim of this router whose request has not ended. */
export interface OwnedClaim {
  reqId: string;
  entry: ClaimEntry;
  phase: 'pending' | 'granted';
  requestedMs: number;
  /** Monotonic time of the request's timeout. */
  deadlineMs: number;
  /** How often the entry was sent to a recorder. */
  sends: number;
  resendMs: number;
}
