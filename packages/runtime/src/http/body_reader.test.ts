import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startBodyServer} from '../mocks/body_server.js';

const CHUNKED =
  'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';

function announced(length: number): string {
  return `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n`;
}

function chunk(length: number): string {
  return `${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`;
}

test('a body that is announced over the limit is refused before it is read', async t => {
  const {connect} = await startBodyServer(t);
  const {socket, text} = await connect();
  socket.write(announced(100_001));
  await text('too_large.');
});

test('a refusal reaches a caller that is still sending', async t => {
  const {connect} = await startBodyServer(t);
  const {socket, text, closed} = await connect();
  socket.write(CHUNKED + chunk(100_001));
  await text('too_large.');
  for (let i = 0; i < 5; i++) socket.write(chunk(50_000));
  socket.end('0\r\n\r\n');
  await closed;
  assert.equal(socket.errored, null);
});

test('a request behind a refused one is not answered, and the connection ends', async t => {
  const {connect} = await startBodyServer(t);
  const {socket, text, closed} = await connect();
  socket.write(CHUNKED + chunk(100_001));
  const refusal = await text('too_large.');
  socket.write(`0\r\n\r\n${announced(0)}`);
  await closed;
  assert.equal(await text('too_large.'), refusal);
});

test('the largest stopped body makes room for another one', async t => {
  const {connect, budget, receivedBytes} = await startBodyServer(t, {
    maxBytes: 200_000,
    budgetBytes: 300_000,
  });
  const [large, small] = [await connect(), await connect()];
  large.socket.write(CHUNKED + chunk(150_000));
  small.socket.write(CHUNKED + chunk(10_000));
  // The memory counts before the bytes: a body that still arrives has not stopped.
  while (receivedBytes() < 160_000) await sleep(5);
  assert.ok(budget.heldBytes() >= 160_000);
  budget.nextInterval(0);
  budget.nextInterval(0);
  const {socket, text} = await connect();
  socket.write(announced(150_000) + 'y'.repeat(150_000));
  await text('read 150000.');
  await large.text('memory_short.');
  small.socket.write('0\r\n\r\n');
  await small.text('read 10000.');
});

test('a body that cannot be held is refused, and one that can is not', async t => {
  const {connect, budget} = await startBodyServer(t, {budgetBytes: 50_000});
  const refused = await connect();
  refused.socket.write(announced(50_001));
  await refused.text('memory_short.');
  const {socket, text} = await connect();
  socket.write(announced(40_000) + 'x'.repeat(40_000));
  await text('read 40000.');
  socket.destroy();
  while (budget.heldBytes() > 0) await sleep(5);
});

test('a body below the lowest rate is given up, one with a pause is not', async t => {
  const rate = {minBytesPerS: 100, windowMs: 1_000};
  const {connect, budget} = await startBodyServer(t, {rate});
  const [slow, paused] = [await connect(), await connect()];
  slow.socket.write(CHUNKED + chunk(10));
  paused.socket.write(CHUNKED + chunk(500));
  while (budget.heldBytes() < 2_000) await sleep(5);
  budget.nextInterval(performance.now() + 1_500);
  await slow.text('too_slow.');
  paused.socket.write('0\r\n\r\n');
  await paused.text('read 500.');
});

test('a body in chunks of one byte is read whole, beside others', async t => {
  const {connect} = await startBodyServer(t);
  const small = await connect();
  small.socket.write(CHUNKED + chunk(1).repeat(60_000));
  const other = await connect();
  other.socket.write(announced(5) + 'hello');
  await other.text('read 5.');
  small.socket.write('0\r\n\r\n');
  await small.text('read 60000.');
});

test('idle connections make room for new ones, open requests do not', async t => {
  const {connect} = await startBodyServer(t, {maxConnections: 2});
  const open = await connect();
  open.socket.write(announced(5) + 'he');
  const idle = await connect();
  idle.socket.write(announced(0));
  await idle.text('read 0.');
  const added = await connect();
  added.socket.write(announced(0));
  await Promise.all([added.text('read 0.'), idle.closed]);
  open.socket.write('llo');
  await open.text('read 5.');
});

test('an unfinished body makes room when no connection is idle', async t => {
  const {connect} = await startBodyServer(t, {maxConnections: 1});
  const open = await connect();
  open.socket.write(announced(5) + 'he');
  await sleep(30);
  const added = await connect();
  added.socket.write(announced(0));
  await added.text('read 0.');
  await open.text('memory_short.');
  if (!open.socket.destroyed) await once(open.socket, 'close');
});
