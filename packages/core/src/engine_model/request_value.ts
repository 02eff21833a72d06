/** Value of a request without a prompt. */
const BASE_VALUE = 0.5;
/** The larger a prompt, the more users lose if it is late. */
const VALUE_PER_THOUSAND_TOKENS = 0.13;

/** Value of a request to its users, by the size of its prompt. */
export function requestValue(promptTokens: number): number {
  return BASE_VALUE + (promptTokens / 1_000) * VALUE_PER_THOUSAND_TOKENS;
}
