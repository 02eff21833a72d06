import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {SendOrder} from '@wisterialadder/core/placement/actions/send_order.js';
import type {OrderSettled} from '@wisterialadder/core/placement/events/order_settled.js';
import {createOrderClient} from './order_client.js';

/** An engine that responds to each order with a status and counts orders. */
async function startEngine(t: TestContext, status: number) {
  let orders = 0;
  const server = createServer((req, res) => {
    orders += 1;
    req.resume().on('end', () => res.writeHead(status).end('{}'));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => server.close());
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, orders: () => orders};
}

async function sendOne(
  t: TestContext,
  url: string,
  nowMs: () => number,
): Promise<OrderSettled> {
  const order = {kind: 'set_role' as const, role: 'mixed' as const};
  const action: SendOrder = {
    kind: 'send_order',
    orderId: 'order-1',
    endpoint: 'engine-1',
    url,
    token: 3,
    notAfterMs: 1_000,
    order,
  };
  return new Promise(resolve => {
    const client = createOrderClient(nowMs, resolve);
    t.after(() => client.dispose());
    client.send(action);
  });
}

for (const [status, result] of [
  [200, 'accepted'],
  [409, 'stale_token'],
  [500, 'failed'],
] as const) {
  test(`an order with response status ${status} settles as ${result}`, async t => {
    const engine = await startEngine(t, status);
    const settled = await sendOne(t, engine.url, () => 999);
    assert.equal(settled.result, result);
    assert.equal(engine.orders(), 1);
  });
}

test('an order whose deadline passes while it connects is not written', async t => {
  const engine = await startEngine(t, 200);
  let clockReads = 0;
  const nowMs = (): number => {
    clockReads += 1;
    return clockReads === 1 ? 999 : 1_000;
  };
  const settled = await sendOne(t, engine.url, nowMs);
  assert.equal(settled.result, 'expired');
  assert.equal(engine.orders(), 0);
  assert.equal(clockReads, 2, 'the deadline is checked again before the write');
});
