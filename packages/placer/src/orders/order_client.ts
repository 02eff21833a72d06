import {Agent, request, type Dispatcher} from 'undici';
import type {SendOrder} from '@wisterialadder/core/placement/actions/send_order.js';
import type {OrderResult} from '@wisterialadder/core/placement/events/order_result.js';
import type {OrderSettled} from '@wisterialadder/core/placement/events/order_settled.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {DeadlineHandler} from './deadline_handler.js';
import {OrderExpiredError} from './order_expired_error.js';

const CONNECT_TIMEOUT_MS = 1_000;
const RESPONSE_TIMEOUT_MS = 2_000;
const STALE_TOKEN_STATUS = 409;

/** Sends orders to engines. */
export interface OrderClient extends Disposable {
  send(action: SendOrder): void;
}

/** Creates a client; `nowMs` reads the clock of order deadlines. */
export function createOrderClient(
  nowMs: () => number,
  push: (event: OrderSettled) => void,
): OrderClient {
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  /** A dispatcher that writes no request at or after the deadline. */
  function dispatcherUntil(deadlineMs: number): Dispatcher {
    return agent.compose(
      dispatch => (options, handler) =>
        dispatch(options, new DeadlineHandler(handler, deadlineMs, nowMs)),
    );
  }

  async function post(action: SendOrder): Promise<OrderResult> {
    const {url, token, order, notAfterMs} = action;
    if (nowMs() >= notAfterMs) return 'expired';
    try {
      const res = await request(`${url}/wl/orders`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({token, order}),
        dispatcher: dispatcherUntil(notAfterMs),
      });
      await res.body.dump();
      if (res.statusCode === STALE_TOKEN_STATUS) return 'stale_token';
      return res.statusCode === 200 ? 'accepted' : 'failed';
    } catch (err) {
      return err instanceof OrderExpiredError ? 'expired' : 'failed';
    }
  }

  async function send(action: SendOrder): Promise<void> {
    const {orderId} = action;
    push({kind: 'order_settled', orderId, result: await post(action)});
  }

  return {
    send: action => void send(action),
    dispose: () => agent.close(),
  };
}
