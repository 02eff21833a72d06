import type {EngineProfile} from '../configuration/engine_profile.js';

/**
 * Time to prefill one of `parts` equal parts of a prompt, in milliseconds.
 * Attention over the token pairs of the whole prompt is split evenly.
 */
export function prefillPartMs(
  profile: EngineProfile,
  promptTokens: number,
  parts: number,
): number {
  const linearMs = promptTokens / profile.readTokensPerMs;
  const millionPairs = (promptTokens * promptTokens) / 2 / 1_000_000;
  return (linearMs + millionPairs * profile.readMsPerMillionPairs) / parts;
}
