/** Published costs of one kind of model engine. Times in milliseconds. */
export interface EngineProfile {
  /** Requests that an engine processes at once. */
  slots: number;
  /** Tokens of prompts and answers that an engine can hold. */
  memoryTokens: number;
  /** Token steps of one pass that has streams to write. */
  stepsPerPass: number;
  /** Cost of a step. */
  stepMs: number;
  /** Added to a step by each stream that is written. */
  stepMsPerStream: number;
  /** Added to a step by each 1,000 tokens of context. */
  stepMsPerThousandTokens: number;
  readTokensPerMs: number;
  /** Cost of a million pairs of a prompt token and an earlier one. */
  readMsPerMillionPairs: number;
  /** Prompt tokens that one step can read. */
  chunkTokens: number;
  /** Added to a step of an engine whose helpers hold parts of a prompt. */
  hopMs: number;
}
