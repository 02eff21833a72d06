/** Asks for the right to dispatch a non-idempotent request. */
export interface ClaimRequest {
  reqId: string;
  /** Customer and idempotency key; keys of customers do not meet. */
  customer: string;
  idempotencyKey: string;
  /** Milliseconds until the request's timeout. */
  timeoutMs: number;
}
