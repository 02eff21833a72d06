/** Work in flight on endpoints, of this gateway or of another one. */
export interface Work {
  /** Peer address of its gateway. */
  member: string;
  /** Unique within one incarnation of the gateway. */
  id: number;
  main: string;
  helpers: string[];
  /** Whether each helper stores its part of the prompt. */
  sharded: boolean;
  promptTokens: number;
  outputTokens: number;
  /** Steady clock; when the first piece is due. */
  dueMs: number;
  gapMs: number;
  /** Steady clock; when it was sent to the endpoint. */
  startedMs: number;
  decoding: boolean;
  /** Expected service time of a call at usual speed; 0 for streams. */
  serviceMs: number;
}
