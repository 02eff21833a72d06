import type {ClaimVerdict} from './claim_verdict.js';

/** Status of one claim: `ended` claims were recorded as not run. */
export type ClaimStatus = 'owner' | 'lost' | 'ended';

/** The claim that owns a key. */
export interface KeyOwner {
  claimId: string;
  /** Monotonic time of the reader, counted from when it read the claim. */
  deadlineMs: number;
  outcome: 'completed' | 'unknown' | undefined;
}

/** State of one key, derived from the log. */
export interface KeyState {
  timeMs: number;
  owner: KeyOwner | undefined;
  /** Status of each claim, fixed by its first occurrence in the log. */
  claimStatuses: Map<string, ClaimStatus>;
  /** Claims whose outcome has been read. */
  claimsWithOutcome: Set<string>;
}

/** Creates the state of a key for which nothing has been read. */
export function createKeyState(timeMs: number): KeyState {
  return {
    timeMs,
    owner: undefined,
    claimStatuses: new Map(),
    claimsWithOutcome: new Set(),
  };
}

/** Returns the verdict of a claim that does not own the key. */
export function duplicateVerdict(state: KeyState, nowMs: number): ClaimVerdict {
  const {owner} = state;
  if (!owner) return 'released';
  if (owner.outcome) return owner.outcome;
  return nowMs >= owner.deadlineMs ? 'unknown' : 'in_progress';
}
