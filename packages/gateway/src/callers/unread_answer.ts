import {MemoryHolder} from '@wisterialadder/runtime/memory/memory_holder.js';

/** Bytes of an answer that its caller has not taken yet. */
export class UnreadAnswer extends MemoryHolder {
  private lastUnsentBytes: number;

  /**
   * @param unsentBytes what the operating system has not taken yet
   * @param breakOff ends the answer, so that it cannot look complete
   */
  constructor(
    private readonly unsentBytes: () => number,
    private readonly stallMs: number,
    private progressAtMs: number,
    private readonly breakOff: () => void,
  ) {
    super();
    this.lastUnsentBytes = unsentBytes();
  }

  /** Bytes were added to the answer. */
  added(bytes: number): void {
    this.lastUnsentBytes += bytes;
  }

  override isEvictable(): boolean {
    return true;
  }

  override evict(): void {
    this.breakOff();
  }

  override check(nowMs: number): void {
    const unsentBytes = this.unsentBytes();
    const sentBytes = this.lastUnsentBytes - unsentBytes;
    this.lastUnsentBytes = unsentBytes;
    if (sentBytes > 0) {
      this.moved(sentBytes);
      this.progressAtMs = nowMs;
    } else if (nowMs - this.progressAtMs >= this.stallMs) {
      this.breakOff();
    }
  }
}
