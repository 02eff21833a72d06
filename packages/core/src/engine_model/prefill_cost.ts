import type {EngineProfile} from '../configuration/engine_profile.js';

/**
 * Milliseconds that an engine reads one of `parts` even parts of a prompt.
 * Each part has its share of the pairs of the whole prompt.
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
