/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  maxHeadBytes: number;
  maxBodyBytes: number;
  /** Time to send the head of a request, in milliseconds. */
  headTimeoutMs: number;
  /** Time that a connection may stay idle, in milliseconds. */
  idleTimeoutMs: number;
}
