const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_DIGITS = 12;

/**
 * Creation time of a UUIDv7 in milliseconds since the Unix epoch (RFC 9562);
 * undefined if the text is not one.
 */
export function uuidV7TimeMs(text: string): number | undefined {
  if (!UUID_V7.test(text)) return undefined;
  return parseInt(text.replaceAll('-', '').slice(0, TIME_DIGITS), 16);
}
