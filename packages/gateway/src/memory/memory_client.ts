import type {OrderMemory} from '@wisterialadder/core/gateway/actions/order_memory.js';
import type {MemoryOrderResult} from '@wisterialadder/core/tickets/memory_order_result.js';

/** Sends engines the orders to reserve or free memory. */
export abstract class MemoryClient {
  abstract order(action: OrderMemory): Promise<MemoryOrderResult>;

  /** Closes all connections. */
  abstract dispose(): void | Promise<void>;
}
