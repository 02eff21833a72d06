/** A stream that an engine writes or will write. */
export interface EngineStream {
  /** Longest pause between two pieces. */
  gapMs: number;
  /** Worth of the request, see `requestValue`. */
  value: number;
  /** Time until the first piece is due; undefined once it has arrived. */
  dueInMs: number | undefined;
}

/** What an engine has to do, by the work that is known. Milliseconds. */
export interface EngineLoad {
  /** Requests that the engine answers. */
  requests: number;
  /** Prompts of other engines that it helps to read. */
  helps: number;
  streams: EngineStream[];
  /** Reading that is not done yet. */
  backlogMs: number;
  /** Duration of a pass without reading. */
  passMs: number;
  /** Tokens that the work holds or will hold. */
  heldTokens: number;
}
