/** Limits on the size and the duration of a caller's requests. */
export interface CallerLimits {
  maxHeadBytes: number;
  maxBodyBytes: number;
  /** Time to send the head of a request, in milliseconds. */
  headTimeoutMs: number;
  /** Time that a connection may stay idle, in milliseconds. */
  idleTimeoutMs: number;
}
