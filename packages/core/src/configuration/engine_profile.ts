/** Published costs of one kind of model engine; times in milliseconds. */
export interface EngineProfile {
  /** Requests that an engine processes at once. */
  slots: number;
  /** Tokens of prompts and answers that fit in an engine's memory. */
  memoryTokens: number;
  /** Token steps of a pass that has decoding streams. */
  stepsPerPass: number;
  /** Cost of a step. */
  stepMs: number;
  /** Added to a step by each stream that is decoding. */
  stepMsPerStream: number;
  /** Added to a step by each 1,000 tokens of context. */
  stepMsPerThousandTokens: number;
  /** Prefill rate without the cost of attention. */
  readTokensPerMs: number;
  /** Attention cost of a million pairs of a prompt token and an earlier one. */
  readMsPerMillionPairs: number;
  /** Prompt tokens that one step can prefill. */
  chunkTokens: number;
  /** Added to a step of an engine whose helpers hold parts of a prompt. */
  hopMs: number;
}
