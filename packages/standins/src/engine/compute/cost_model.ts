/** Simulated cost of prefill and decode, in milliseconds. */
export interface CostModel {
  linearMsPerToken: number;
  /** Attention cost: coefficient of the square of the prompt length. */
  quadraticMs: number;
  decodeBaseMs: number;
  /** Added for each stream in the batch. */
  decodeStreamMs: number;
}

/** Prefill cost of a chunk after `position` tokens; sums to a·n + b·n². */
export function prefillCostMs(
  cost: CostModel,
  position: number,
  tokens: number,
): number {
  const attention = cost.quadraticMs * tokens * (2 * position + tokens);
  return cost.linearMsPerToken * tokens + attention;
}

/** Cost of a decode step that yields one token per stream. */
export function decodeCostMs(cost: CostModel, streams: number): number {
  if (streams === 0) return 0;
  return cost.decodeBaseMs + cost.decodeStreamMs * streams;
}
