import {MemoryHolder} from './memory_holder.js';

/** Bytes that are needed until their owner gives them back. */
export class KeptBytes extends MemoryHolder {
  override isEvictable(): boolean {
    return false;
  }

  override evict(): void {
    throw new Error('kept bytes are never dropped');
  }
}
