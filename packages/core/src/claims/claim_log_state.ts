/**
 * What the log holds of a claim. `absent`: nothing from this recorder. `lost`:
 * the claim is there and can never own its key. `possible`: it may own the key
 * now or once it is read.
 */
export type ClaimLogState = 'absent' | 'lost' | 'possible';
