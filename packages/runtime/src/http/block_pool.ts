/** Size of the blocks that are reused. */
export const BLOCK_BYTES = 65_536;

/**
 * Blocks that bodies have given back. Freed memory stays resident until the
 * next garbage collection, which 64 MiB of it may precede.
 */
export interface BlockPool {
  /** Returns a block, whose content is undefined. */
  take(bytes: number): Buffer;
  /** Takes blocks back to which nothing else refers. */
  giveBack(blocks: Buffer[]): void;
}

/** Creates a pool that keeps at most `maxBlocks` unused blocks. */
export function createBlockPool(maxBlocks: number): BlockPool {
  const unused: Buffer[] = [];
  return {
    take: bytes => {
      const block = bytes === BLOCK_BYTES ? unused.pop() : undefined;
      return block ?? Buffer.allocUnsafe(bytes);
    },
    giveBack: blocks => {
      for (const block of blocks) {
        if (unused.length >= maxBlocks) return;
        if (block.length === BLOCK_BYTES) unused.push(block);
      }
    },
  };
}
