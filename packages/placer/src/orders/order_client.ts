import {Agent, request, type Dispatcher} from 'undici';
import type {SendOrder} from '@wisterialadder/core/placement/actions/send_order.js';
import type {OrderResult} from '@wisterialadder/core/placement/events/order_result.js';
import type {OrderSettled} from '@wisterialadder/core/placement/events/order_settled.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {NotAfterHandler} from './not_after_handler.js';
import {OrderExpired} from './order_expired.js';

const CONNECT_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_MS = 2_000;
const STALE_TOKEN_STATUS = 409;

/** Sends orders to engines. */
export interface OrderClient extends Disposable {
  send(action: SendOrder): void;
}

/** Creates a client; `nowMs` is the clock of `notAfterMs`. */
export function createOrderClient(
  nowMs: () => number,
  push: (event: OrderSettled) => void,
): OrderClient {
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: ANSWER_TIMEOUT_MS,
    bodyTimeout: ANSWER_TIMEOUT_MS,
  });

  /** An agent that writes nothing from `notAfterMs` on. */
  function agentUntil(notAfterMs: number): Dispatcher {
    return agent.compose(
      dispatch => (options, handler) =>
        dispatch(options, new NotAfterHandler(handler, notAfterMs, nowMs)),
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
        dispatcher: agentUntil(notAfterMs),
      });
      await res.body.dump();
      if (res.statusCode === STALE_TOKEN_STATUS) return 'stale_token';
      return res.statusCode === 200 ? 'accepted' : 'failed';
    } catch (err) {
      return err instanceof OrderExpired ? 'expired' : 'failed';
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
