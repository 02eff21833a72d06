import type {MemoryOrderResult} from '../../tickets/memory_order_result.js';

/** An engine answered, or failed to answer, an order about its memory. */
export interface MemorySettled extends MemoryOrderResult {
  kind: 'memory_settled';
  ticket: string;
  endpoint: string;
}
