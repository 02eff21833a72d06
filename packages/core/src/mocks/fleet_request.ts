/** What a caller saw of one request. */
export interface FleetRequest {
  reqId: string;
  gateway: string;
  arrivedMs: number;
  parts: readonly string[];
  /** Equal for all repeats of the request. */
  digest: string;
  /** Number of attempts that gateways started. */
  attempts: number;
  /** Attempt that began the answer; undefined if none did. */
  begunBy: number | undefined;
  refusal: string | undefined;
  retryAfterMs: number | undefined;
  endedMs: number | undefined;
  /** When the newest piece of the stream came. */
  lastPieceMs: number | undefined;
  /** Time from arrival to the first piece; undefined before it. */
  firstPieceMs: number | undefined;
  longestGapMs: number;
  /** Whether the whole answer was delivered. */
  complete: boolean;
}
