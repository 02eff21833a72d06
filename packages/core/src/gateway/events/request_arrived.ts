/** A caller's request, read to its end. */
export interface RequestArrived {
  kind: 'request_arrived';
  /** The caller's id of this request, or a made-up one; unique in a process. */
  reqId: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** Empty if the caller sent none. */
  bearerKey: string;
  /** 0 for requests that are no generation. */
  promptTokens: number;
  /** Most output tokens that the caller accepts. */
  maxOutputTokens: number;
  /** The caller's guess of the output tokens; 0 if it gave none. */
  expectedOutputTokens: number;
  /** Last piece of an earlier answer that the caller has; 0 for none. */
  resumeAfter: number;
  /** Time that the caller waits, in milliseconds; undefined if unbounded. */
  remainingMs: number | undefined;
  bodyBytes: number;
}
