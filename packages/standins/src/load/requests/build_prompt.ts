const CHARACTERS_PER_TOKEN = 4;
const FILLER = 'wheat lentils rice flour oil salt tea sugar ghee spice ';

/**
 * A prompt of exactly `tokens` tokens: a prefix that others share, then text
 * that starts with the request's own id.
 */
export function buildPrompt(
  tokens: number,
  ownId: string,
  prefixId = '',
  prefixTokens = 0,
): string {
  const sharedTokens = Math.min(prefixTokens, tokens);
  const shared = fill(`prefix ${prefixId} `, sharedTokens);
  return shared + fill(`${ownId} `, tokens - sharedTokens);
}

function fill(start: string, tokens: number): string {
  const characters = tokens * CHARACTERS_PER_TOKEN;
  return start.padEnd(characters, FILLER).slice(0, characters);
}
