import type {MemoryOrder} from '../../tickets/memory_order.js';

/** Orders an engine to reserve memory or to free it. */
export interface OrderMemory {
  kind: 'order_memory';
  ticket: string;
  endpoint: string;
  /** `IP:PORT`. */
  address: string;
  order: MemoryOrder;
  tokens: number;
  /** Time after which the engine frees the memory by itself. */
  holdMs: number;
}
