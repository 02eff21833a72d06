import {createHash} from 'node:crypto';

/** Characters of one block: 256 tokens of 4 characters. */
const BLOCK_CHARACTERS = 1_024;
/** Longer prefixes are not hashed, to bound the cost of long prompts. */
const MAX_BLOCKS = 512;
const HASH_CHARACTERS = 16;

/** Hashes of the prefixes that end at each whole block, shortest first. */
export function prefixHashes(text: string): string[] {
  const hashes: string[] = [];
  const hash = createHash('sha256');
  const blocks = Math.floor(text.length / BLOCK_CHARACTERS);
  for (let i = 0; i < Math.min(blocks, MAX_BLOCKS); i++) {
    const start = i * BLOCK_CHARACTERS;
    hash.update(text.slice(start, start + BLOCK_CHARACTERS));
    hashes.push(hash.copy().digest('hex').slice(0, HASH_CHARACTERS));
  }
  return hashes;
}
