/** Something whose bytes count against the memory budget. */
export abstract class MemoryHolder {
  /** Bytes that the budget has granted; only the budget changes it. */
  heldBytes = 0;
  /** Part of them that lies in the JavaScript heap. */
  heapBytes = 0;
  /** Bytes that moved in this interval and in the one before. */
  private movedBytes = 0;
  private movedBefore = 0;

  /** Whether it may be dropped when memory is short. */
  abstract isEvictable(): boolean;

  /** Drops what it holds and removes it from the budget. */
  abstract evict(): void;

  /** Called at each interval, for holders with limits on time. */
  check(_nowMs: number): void {}

  /** Records bytes that were received or sent. */
  moved(bytes: number): void {
    this.movedBytes += bytes;
  }

  /** Starts the next interval in which progress is counted. */
  nextInterval(): void {
    this.movedBefore = this.movedBytes;
    this.movedBytes = 0;
  }

  /**
   * Memory times the intervals that it stands for at the present rate. It is
   * largest for holders that stopped with much memory, and small for those
   * that hold little, however slow they are.
   */
  evictionCost(): number {
    return this.costOf(this.heldBytes);
  }

  /** The same for what it holds of the JavaScript heap. */
  heapEvictionCost(): number {
    return this.costOf(this.heapBytes);
  }

  private costOf(bytes: number): number {
    const rate = 1 + Math.max(this.movedBytes, this.movedBefore);
    return (bytes * bytes) / rate;
  }
}
