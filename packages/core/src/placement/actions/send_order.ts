import type {EngineOrder} from '../orders/engine_order.js';

/** Sends an order to an engine; answered by `order_settled`. */
export interface SendOrder {
  kind: 'send_order';
  orderId: string;
  endpoint: string;
  url: string;
  /** Fencing token of the lease under which the order was decided. */
  token: number;
  /** Monotonic time from which the order must not be sent. */
  notAfterMs: number;
  order: EngineOrder;
}
