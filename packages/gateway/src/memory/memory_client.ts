import type {OrderMemory} from '@wisterialadder/core/gateway/actions/order_memory.js';
import type {MemoryAnswer} from '@wisterialadder/core/tickets/memory_answer.js';

/** Sends engines the orders to reserve or free memory. */
export abstract class MemoryClient {
  abstract order(action: OrderMemory): Promise<MemoryAnswer>;

  /** Closes all connections. */
  abstract dispose(): void | Promise<void>;
}
