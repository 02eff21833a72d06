import type {OrderResult} from './order_result.js';

/** An order has ended. */
export interface OrderSettled {
  kind: 'order_settled';
  orderId: string;
  result: OrderResult;
}
