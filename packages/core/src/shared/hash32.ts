const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** FNV-1a of a text with a final mix, as an unsigned 32-bit number. */
export function hash32(text: string): number {
  let hash = OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), PRIME);
  }
  // FNV-1a alone spreads short keys that differ in the last character badly.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
