const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects a body that arrives in parts, which are copied into blocks: a part
 * of one byte would otherwise keep a whole network buffer in memory.
 */
export interface BodyCollector {
  length(): number;
  append(part: Buffer): void;
  /** Returns the whole body and drops it here. */
  take(): Buffer;
}

/** Creates a collector of an empty body. */
export function createBodyCollector(): BodyCollector {
  let blocks: Buffer[] = [];
  let block: Buffer = Buffer.alloc(0);
  /** Bytes used of `block`, the last one. */
  let used = 0;
  let length = 0;

  function startBlock(neededBytes: number): void {
    const atLeast = Math.max(MIN_BLOCK_BYTES, neededBytes, length / 2);
    block = Buffer.allocUnsafe(Math.ceil(Math.min(MAX_BLOCK_BYTES, atLeast)));
    blocks.push(block);
    used = 0;
  }

  function append(part: Buffer): void {
    length += part.length;
    for (let from = 0; from < part.length;) {
      if (used === block.length) startBlock(part.length - from);
      const copied = part.copy(block, used, from);
      used += copied;
      from += copied;
    }
  }

  return {
    length: () => length,
    append,
    take: () => {
      const body = Buffer.concat(blocks, length);
      blocks = [];
      block = Buffer.alloc(0);
      used = 0;
      length = 0;
      return body;
    },
  };
}
