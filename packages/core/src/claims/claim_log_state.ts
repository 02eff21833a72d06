/**
 * State of a claim in the log. `absent`: this recorder has not appended it.
 * `lost`: the log holds the claim, and it can never own its key. `possible`:
 * it owns the key, or may own it once it is read.
 */
export type ClaimLogState = 'absent' | 'lost' | 'possible';
