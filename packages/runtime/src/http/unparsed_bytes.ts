import {MemoryHolder} from '../memory/memory_holder.js';

/** Memory of a connection's bytes that are no part of a request yet. */
export class UnparsedBytes extends MemoryHolder {
  /** @param close ends the connection */
  constructor(private readonly close: () => void) {
    super();
  }

  override isEvictable(): boolean {
    return this.heldBytes > 0;
  }

  override evict(): void {
    this.close();
  }
}
