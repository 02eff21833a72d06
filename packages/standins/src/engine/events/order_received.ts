import type {EngineOrder} from '../orders/engine_order.js';

/** An order from the placer. */
export interface OrderReceived {
  kind: 'order_received';
  callId: string;
  /** Fencing token. */
  token: number;
  order: EngineOrder;
}
