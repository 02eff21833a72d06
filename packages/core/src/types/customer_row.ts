/** A customer and its limits over all routers; 0 means unlimited. */
export interface CustomerRow {
  type: 'customer';
  name: string;
  /** SHA-256 of each bearer key, in lower-case hexadecimal. */
  keyHashes: string[];
  /** Classes the customer may use; the first is the default. */
  classes: string[];
  weight: number;
  requestsPerSecond: number;
  /** Prompt plus output tokens per second. */
  tokensPerSecond: number;
  maxConcurrent: number;
}
