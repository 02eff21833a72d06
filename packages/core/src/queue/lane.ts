/** Lane of a prompt by its length. */
export type Lane = 'short' | 'long';

/** Prompts over the threshold go to the long lane. */
export function laneOf(promptTokens: number, longPromptTokens: number): Lane {
  return promptTokens > longPromptTokens ? 'long' : 'short';
}
