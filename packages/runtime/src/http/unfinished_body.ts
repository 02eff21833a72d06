import {MemoryHolder} from '../memory/memory_holder.js';
import type {BodyError} from './body_error.js';
import type {BodyRate} from './body_rate.js';

const MS_PER_SECOND = 1_000;

/** Memory of a body; it may be dropped until the body is complete. */
export class UnfinishedBody extends MemoryHolder {
  private complete = false;
  private windowBytes = 0;

  constructor(
    private readonly rate: BodyRate,
    private windowStartMs: number,
    private readonly drop: (reason: BodyError) => void,
  ) {
    super();
  }

  /** The body is complete and its request must not be dropped. */
  finish(): void {
    this.complete = true;
  }

  override isEvictable(): boolean {
    return !this.complete;
  }

  override evict(): void {
    this.drop('memory_short');
  }

  override moved(bytes: number): void {
    super.moved(bytes);
    this.windowBytes += bytes;
  }

  override check(nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartMs;
    if (this.complete || elapsedMs < this.rate.windowMs) return;
    const minBytes = (this.rate.minBytesPerS * elapsedMs) / MS_PER_SECOND;
    const tooSlow = this.windowBytes < minBytes;
    this.windowStartMs = nowMs;
    this.windowBytes = 0;
    if (tooSlow) this.drop('too_slow');
  }
}
