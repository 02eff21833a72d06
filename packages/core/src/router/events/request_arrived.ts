/** A caller's request, without its prompt text. */
export interface RequestArrived {
  kind: 'request_arrived';
  reqId: string;
  /** SHA-256 of the bearer key, in lower-case hexadecimal. */
  keyHash: string;
  /** Empty for the customer's default class. */
  className: string;
  /** Model or plain service that the caller named; empty for the class's. */
  service: string;
  promptTokens: number;
  maxOutputTokens: number;
  /** Hash of each prefix, one per 256 prompt tokens, shortest first. */
  prefixHashes: string[];
  /** Empty if the caller sent none. */
  idempotencyKey: string;
}
