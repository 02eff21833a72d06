/**
 * Prompt length at which attention, which grows with the square of the length,
 * costs as much as the linear part of prefill.
 */
const QUADRATIC_TOKENS = 400_000;

/** Prefill work in linear token equivalents, without the cached prefix. */
export function prefillWork(promptTokens: number, cachedTokens = 0): number {
  const linear = promptTokens - cachedTokens;
  const squares = promptTokens ** 2 - cachedTokens ** 2;
  return linear + squares / QUADRATIC_TOKENS;
}
