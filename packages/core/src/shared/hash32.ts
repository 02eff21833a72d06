const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** FNV-1a hash with the finalizer of MurmurHash3, unsigned 32-bit. */
export function hash32(text: string): number {
  let hash = OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), PRIME);
  }
  // FNV-1a alone distributes short keys that differ only in the last
  // character poorly.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
