/** A caller's request was received completely. */
export interface RequestArrived {
  kind: 'request_arrived';
  /** The caller's id, or a generated one; unique in a process. */
  reqId: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** Empty if the caller sent none. */
  bearerKey: string;
  /** 0 for requests that generate nothing. */
  promptTokens: number;
  /** Largest number of output tokens that the caller accepts. */
  maxOutputTokens: number;
  /** The caller's estimate of the output tokens; 0 if it gave none. */
  expectedOutputTokens: number;
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: string[];
  /** Number of further parts whose ids exceed what a gateway keeps. */
  partsLeftOut: number;
  /** Number of the last piece that the caller has already; 0 for none. */
  resumeAfter: number;
  /** Time that the caller waits, in milliseconds; undefined if unbounded. */
  remainingMs: number | undefined;
  bodyBytes: number;
  /**
   * Hexadecimal digest of what a repeat of the request has in common with it,
   * whatever its id; made when it is asked for, as it takes time.
   */
  digest(): string;
}
