import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';
import {createSessionClient} from './session_client.js';

// Guards against fractional times to live, which engines refuse: times of the
// monotonic clock have fractions.
test('a reservation asks for whole milliseconds, rounded up', async t => {
  let ttlMs: unknown;
  const server = createServer((req, res) => {
    let body = '';
    req.on('data', (chunk: Buffer) => (body += chunk.toString()));
    req.on('end', () => {
      ({ttlMs} = JSON.parse(body) as {ttlMs: unknown});
      res.end(JSON.stringify({sessionId: 's1'}));
    });
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  const events: RouterEvent[] = [];
  const client = createSessionClient('owner', event => events.push(event));
  await client.reserve({
    kind: 'reserve',
    reqId: 'r1',
    attempt: 1,
    endpoint: 'engine-1',
    url: `http://127.0.0.1:${port}`,
    tokens: 1_000,
    ttlMs: 300.25,
  });
  assert.equal(ttlMs, 301);
  const [settled] = events;
  assert.ok(settled?.kind === 'reservation_settled' && settled.granted);
});
