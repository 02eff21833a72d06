import {BLOCK_BYTES, createBlockPool} from './block_pool.js';

const MIN_BLOCK_BYTES = 1_024;
/** Unused blocks of all bodies of the process, 8 MiB. */
const MAX_UNUSED_BLOCKS = 128;
const BLOCKS = createBlockPool(MAX_UNUSED_BLOCKS);

/**
 * Collects a body that arrives in parts, which are copied into blocks: a part
 * of one byte would otherwise keep a whole network buffer in memory.
 */
export interface BodyCollector {
  length(): number;
  /** Adds a part; false if there is no memory for it. */
  append(part: Buffer): boolean;
  /** Returns the whole body and drops it here. */
  take(): Buffer;
  /**
   * Returns the body in blocks and drops it here. Large buffers fragment the
   * memory of the process, blocks of one size do not.
   */
  takeBlocks(): Buffer[];
  /** Drops the body. */
  drop(): void;
}

/**
 * Creates a collector of an empty body.
 * @param tryTake asked for the memory of each block
 */
export function createBodyCollector(
  tryTake: (bytes: number) => boolean = () => true,
): BodyCollector {
  let blocks: Buffer[] = [];
  let block: Buffer = Buffer.alloc(0);
  /** Bytes used of `block`, the last one. */
  let used = 0;
  let length = 0;

  function startBlock(neededBytes: number): boolean {
    const atLeast = Math.max(MIN_BLOCK_BYTES, neededBytes, length / 2);
    const blockBytes = Math.ceil(Math.min(BLOCK_BYTES, atLeast));
    if (!tryTake(blockBytes)) return false;
    block = BLOCKS.take(blockBytes);
    blocks.push(block);
    used = 0;
    return true;
  }

  function append(part: Buffer): boolean {
    for (let from = 0; from < part.length;) {
      if (used === block.length && !startBlock(part.length - from))
        return false;
      const copied = part.copy(block, used, from);
      used += copied;
      from += copied;
      length += copied;
    }
    return true;
  }

  /** A body of one block needs no copy. */
  function take(): Buffer {
    const [only] = blocks;
    if (only && blocks.length === 1) {
      const body = only.subarray(0, length);
      blocks = [];
      drop();
      return body;
    }
    const body = Buffer.concat(blocks, length);
    drop();
    return body;
  }

  function takeBlocks(): Buffer[] {
    const taken = blocks.slice(0, -1);
    if (used > 0) taken.push(block.subarray(0, used));
    blocks = [];
    drop();
    return taken;
  }

  function drop(): void {
    BLOCKS.giveBack(blocks);
    blocks = [];
    block = Buffer.alloc(0);
    used = 0;
    length = 0;
  }

  return {length: () => length, append, take, takeBlocks, drop};
}
