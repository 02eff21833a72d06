/** Work in flight on endpoints, of this gateway or of another one. */
export interface Work {
  /** Peer address of its gateway. */
  member: string;
  /** Unique among the work of one start of the gateway. */
  id: number;
  main: string;
  helpers: string[];
  /** Whether each helper stores its part of the prompt. */
  sharded: boolean;
  promptTokens: number;
  outputTokens: number;
  /** Steady clock; the first piece is due then. */
  dueMs: number;
  gapMs: number;
  /** Steady clock; it was sent to the endpoint then. */
  startedMs: number;
  decoding: boolean;
}
