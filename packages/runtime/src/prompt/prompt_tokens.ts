/** Average characters per token; engines count exactly, routers estimate. */
const CHARACTERS_PER_TOKEN = 4;

/** Estimated number of tokens of a text. */
export function promptTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
