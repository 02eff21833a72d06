const CHARACTERS_PER_TOKEN = 4;
const FILLER = 'wheat lentils rice flour oil salt tea sugar ghee spice ';

/**
 * Builds a prompt of exactly `tokens` tokens: an optional shared prefix, then
 * text that starts with the request's id and so is unique.
 */
export function buildPrompt(
  tokens: number,
  requestId: string,
  prefixId = '',
  prefixTokens = 0,
): string {
  const sharedTokens = Math.min(prefixTokens, tokens);
  const shared = fill(`prefix ${prefixId} `, sharedTokens);
  return shared + fill(`${requestId} `, tokens - sharedTokens);
}

function fill(start: string, tokens: number): string {
  const characters = tokens * CHARACTERS_PER_TOKEN;
  return start.padEnd(characters, FILLER).slice(0, characters);
}
