import type {LeaseHold} from '../lease/lease_hold.js';
import type {EndpointRow} from '../types/endpoint_row.js';
import type {OrderSettled} from './events/order_settled.js';
import type {EngineOrder} from './orders/engine_order.js';
import type {PlacerContext} from './placer_context.js';

/** Load reports lag, so the same order is not sent again at once. */
const RESEND_AFTER_MS = 5_000;

/** Sends orders to engines and tracks those without a result. */
export interface OrderSender {
  /** Sends an order unless the same one was sent recently. */
  send(
    ctx: PlacerContext,
    hold: LeaseHold,
    row: EndpointRow,
    order: EngineOrder,
  ): void;
  /** Returns the order's token; undefined if it has already ended. */
  settled(ctx: PlacerContext, event: OrderSettled): number | undefined;
  /** Number of orders that have not ended. */
  outstanding(): number;
  /** Allows orders to an engine that has restarted to be sent again. */
  forget(endpoint: string): void;
  /** Allows every order to be sent again. */
  forgetAll(): void;
}

interface SentOrder {
  endpoint: string;
  kind: EngineOrder['kind'];
  token: number;
}

/** Creates a sender that has sent nothing. */
export function createOrderSender(): OrderSender {
  const pending = new Map<string, SentOrder>();
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
    if (nowMs - (sentMs.get(key) ?? -Infinity) < RESEND_AFTER_MS) return;
    sentMs.set(key, nowMs);
    sequence += 1;
    const orderId = `order-${sequence}`;
    const {token, validUntilMs} = hold;
    pending.set(orderId, {endpoint, kind: order.kind, token});
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
    const order = pending.get(event.orderId);
    if (!order) return undefined;
    pending.delete(event.orderId);
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
    outstanding: () => pending.size,
    forget,
    forgetAll: () => sentMs.clear(),
  };
}
