/** Simulated cost of prefill and decode, in milliseconds. */
export interface CostModel {
  linearMsPerToken: number;
  /** Attention: coefficient of the square of the prompt length. */
  quadraticMs: number;
  decodeBaseMs: number;
  /** Added for each stream in the batch. */
  decodeStreamMs: number;
}

/** Cost of a chunk after `position` tokens; chunks add up to a·n + b·n². */
export function prefillMs(
  cost: CostModel,
  position: number,
  tokens: number,
): number {
  const attention = cost.quadraticMs * tokens * (2 * position + tokens);
  return cost.linearMsPerToken * tokens + attention;
}

/** Cost of one token for each of the streams. */
export function decodeMs(cost: CostModel, streams: number): number {
  if (streams === 0) return 0;
  return cost.decodeBaseMs + cost.decodeStreamMs * streams;
}
