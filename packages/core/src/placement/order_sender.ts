import type {LeaseHold} from '../lease/lease_hold.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {OrderSettled} from './events/order_settled.js';
import type {EngineOrder} from './orders/engine_order.js';
import type {PlacerContext} from './placer_context.js';

/** Load reports lag, so an order is not repeated at once. */
const REPEAT_MS = 5_000;

/** Sends orders and waits for their end. */
export interface OrderSender {
  /** Sends an order unless the same one was sent a short time ago. */
  send(
    ctx: PlacerContext,
    hold: LeaseHold,
    row: EndpointRow,
    order: EngineOrder,
  ): void;
  /** Answers the token of the order; undefined if it has ended before. */
  settled(ctx: PlacerContext, event: OrderSettled): number | undefined;
  /** Orders that have not ended. */
  outstanding(): number;
  /** Lets the orders of an engine that has restarted be sent again. */
  forget(endpoint: string): void;
  /** Lets every order be sent again. */
  forgetAll(): void;
}

interface SentOrder {
  endpoint: string;
  kind: EngineOrder['kind'];
  token: number;
}

/** Creates a sender that has sent nothing. */
export function createOrderSender(): OrderSender {
  const running = new Map<string, SentOrder>();
  const sentMs = new Map<string, number>();
  let sequence = 0;

  function send(
    ctx: PlacerContext,
    hold: LeaseHold,
    row: EndpointRow,
    order: EngineOrder,
  ): void {
    const {nowMs} = ctx;
    const endpoint = row.name;
    const key = `${endpoint} ${JSON.stringify(order)}`;
    if (nowMs - (sentMs.get(key) ?? -Infinity) < REPEAT_MS) return;
    sentMs.set(key, nowMs);
    sequence += 1;
    const orderId = `order-${sequence}`;
    const {token, validUntilMs} = hold;
    running.set(orderId, {endpoint, kind: order.kind, token});
    ctx.emit({
      kind: 'send_order',
      orderId,
      endpoint,
      url: row.url,
      token,
      notAfterMs: validUntilMs,
      order,
    });
    const {kind, ...details} = order;
    const fields = {endpoint, order: kind, ...details, token};
    ctx.emit({kind: 'write_log', event: 'WL6002', fields});
  }

  function settled(
    ctx: PlacerContext,
    event: OrderSettled,
  ): number | undefined {
    const order = running.get(event.orderId);
    if (!order) return undefined;
    running.delete(event.orderId);
    const {endpoint, kind, token} = order;
    const {result} = event;
    ctx.emit({
      kind: 'observe',
      metric: 'placement_orders_total',
      labels: {kind, result},
      value: 1,
    });
    if (result !== 'accepted') {
      const fields = {endpoint, order: kind, result, token};
      ctx.emit({kind: 'write_log', event: 'WL6004', fields});
    }
    return token;
  }

  function forget(endpoint: string): void {
    for (const key of sentMs.keys()) {
      if (key.startsWith(`${endpoint} `)) sentMs.delete(key);
    }
  }

  return {
    send,
    settled,
    outstanding: () => running.size,
    forget,
    forgetAll: () => sentMs.clear(),
  };
}
