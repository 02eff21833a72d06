/** Smallest allocation. */
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Collects bytes that arrive in parts. Its memory is at most twice the bytes,
 * however small the parts are.
 */
export interface ByteBuffer {
  length(): number;
  append(part: Buffer): void;
  /** The collected bytes, valid until the next call. */
  view(): Buffer;
  /** Returns the collected bytes and starts anew. */
  take(): Buffer;
}

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
  let storage: Buffer = Buffer.alloc(0);
  let length = 0;

  function reserve(needed: number): void {
    if (needed <= storage.length) return;
    const capacity = Math.max(MIN_CAPACITY_BYTES, needed, storage.length * 2);
    const larger = Buffer.allocUnsafe(capacity);
    storage.copy(larger, 0, 0, length);
    storage = larger;
  }

  const view = (): Buffer => storage.subarray(0, length);

  return {
    length: () => length,
    append: part => {
      reserve(length + part.length);
      part.copy(storage, length);
      length += part.length;
    },
    view,
    take: () => {
      const taken = view();
      storage = Buffer.alloc(0);
      length = 0;
      return taken;
    },
  };
}
