/** Memory of a buffer beside its bytes. */
const BUFFER_BYTES = 512;

/** What a connection has sent and the parser has not taken, in its order. */
export interface PendingBytes {
  add(bytes: Buffer): void;
  /** Takes a piece of the first buffer, of the length that `lengthOf` says. */
  take(lengthOf: (bytes: Buffer) => number): Buffer;
  clear(): void;
  isEmpty(): boolean;
  /** Memory that they take, in bytes. */
  heldBytes(): number;
}

/** Creates the record of a connection that has sent nothing. */
export function createPendingBytes(): PendingBytes {
  let buffers: Buffer[] = [];
  let heldBytes = 0;

  function take(lengthOf: (bytes: Buffer) => number): Buffer {
    const [first = Buffer.alloc(0)] = buffers;
    const length = lengthOf(first);
    heldBytes -= length;
    if (length < first.length) {
      buffers[0] = first.subarray(length);
      return first.subarray(0, length);
    }
    buffers.shift();
    heldBytes -= BUFFER_BYTES;
    return first;
  }

  return {
    add: bytes => {
      buffers.push(bytes);
      heldBytes += bytes.length + BUFFER_BYTES;
    },
    take,
    clear: () => {
      buffers = [];
      heldBytes = 0;
    },
    isEmpty: () => buffers.length === 0,
    heldBytes: () => heldBytes,
  };
}
