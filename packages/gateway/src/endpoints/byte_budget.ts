/** Bounds the bytes that all running attempts hold together. */
export interface ByteBudget {
  /** Takes bytes; false, and nothing taken, if they exceed the bound. */
  tryTake(bytes: number): boolean;
  giveBack(bytes: number): void;
}

/** Creates an unused budget. */
export function createByteBudget(maxBytes: number): ByteBudget {
  let takenBytes = 0;
  return {
    tryTake: bytes => {
      if (takenBytes + bytes > maxBytes) return false;
      takenBytes += bytes;
      return true;
    },
    giveBack: bytes => {
      takenBytes -= bytes;
    },
  };
}
