/** A claim as it is stored in a partition's stream. */
export interface ClaimEntry {
  type: 'claim';
  /** Unique over all incarnations; kept when sent or appended again. */
  claimId: string;
  /** Customer and idempotency key, written `CUSTOMER/UUID`. */
  key: string;
  /** Peer address of the owner router. */
  owner: string;
  incarnation: number;
  /** Time from the claim to the request's timeout, in milliseconds. */
  timeoutMs: number;
}
