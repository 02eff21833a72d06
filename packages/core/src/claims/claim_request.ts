/** Request for the right to dispatch a non-idempotent request. */
export interface ClaimRequest {
  reqId: string;
  /** Namespace of the idempotency key: customers do not share keys. */
  customer: string;
  idempotencyKey: string;
  /** Milliseconds until the request's timeout. */
  timeoutMs: number;
}
