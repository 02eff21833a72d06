import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
  createAttemptHarness,
  startAttempt,
  type AttemptHarness,
} from '../mocks/attempts.js';
import {
  startRawEndpoint,
  type RawEndpoint,
  type RawReply,
} from '../mocks/raw_endpoint.js';

const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nreq-id: r1\r\ncontent-type: text/event-stream\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

interface Fixture extends AttemptHarness {
  endpoint: RawEndpoint;
}

async function fixture(t: TestContext, reply: RawReply): Promise<Fixture> {
  const endpoint = await startRawEndpoint(reply);
  const harness = createAttemptHarness();
  t.after(async () => {
    await harness.runner.dispose();
    await endpoint.close();
  });
  harness.request('r1');
  return {...harness, endpoint};
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function start({runner, endpoint}: Fixture, reqId = 'r1'): void {
  runner.start(startAttempt({address: endpoint.address, reqId}));
}

/** Kinds of the events, with the failure of a failed attempt. */
function told({events}: Fixture): string[] {
  return events.map(event =>
    event.kind === 'attempt_failed' ? event.failure : event.kind,
  );
}

test('a stream is told piece by piece, without half a piece', async t => {
  const run = await fixture(t, socket => {
    socket.write(STREAM_HEAD + CHUNKED + chunk('id: 1\ndata: a\n\nid: 2\nda'));
    socket.write(`${chunk('ta: b\n\n')}0\r\n\r\n`);
  });
  start(run);
  await run.ended();
  assert.deepEqual(told(run), [
    'stream_started',
    'piece_received',
    'piece_received',
    'stream_ended',
  ]);
  const pieces = run.events.flatMap(event =>
    event.kind === 'piece_received'
      ? [Buffer.from(event.payload).toString()]
      : [],
  );
  assert.deepEqual(pieces, ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']);
});

test('a stream cut in the middle of a piece is broken, not ended', async t => {
  const run = await fixture(t, socket => {
    socket.end(STREAM_HEAD + CHUNKED + chunk('id: 1\ndata: a\n\nid: 2\n'));
  });
  start(run);
  await run.ended();
  assert.deepEqual(told(run), ['stream_started', 'piece_received', 'broken']);
});

for (const [ending, finish, expected] of [
  ['closed', (socket: Socket) => socket.end(), 'answer_received'],
  ['reset', (socket: Socket) => socket.resetAndDestroy(), 'broken'],
  [
    'reset right after its close',
    (socket: Socket) => socket.end(() => socket.resetAndDestroy()),
    'broken',
  ],
] as const) {
  test(`an answer without a length whose connection is ${ending}`, async t => {
    const run = await fixture(t, socket => {
      socket.write('HTTP/1.1 200 OK\r\nreq-id: r1\r\n\r\nhalf', () =>
        setTimeout(() => finish(socket), 20),
      );
    });
    start(run);
    await run.ended();
    assert.deepEqual(told(run), [expected]);
  });
}

test('an answer of another request is never taken for this one', async t => {
  const run = await fixture(t, socket => {
    socket.write('HTTP/1.1 200 OK\r\nreq-id: r0\r\ncontent-length: 1\r\n\r\nx');
  });
  start(run);
  await run.ended();
  assert.deepEqual(told(run), ['broken']);
});

test('a connection that sent bytes after its answer is not used again', async t => {
  const answer = (id: string): string =>
    `HTTP/1.1 200 OK\r\nreq-id: ${id}\r\ncontent-length: 1\r\n\r\nx`;
  const run = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    socket.write(answer(id) + (id === 'r1' ? answer('r1') : ''));
  });
  start(run);
  await run.ended();
  run.request('r2');
  start(run, 'r2');
  await run.ended();
  assert.deepEqual(told(run), ['answer_received', 'answer_received']);
  assert.equal(run.endpoint.connections(), 2);
});

test('a sound connection is used again, and closed by a cancelled attempt', async t => {
  const run = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    if (id === 'r3') return;
    socket.write(
      `HTTP/1.1 200 OK\r\nreq-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    );
  });
  start(run);
  await run.ended();
  run.request('r2');
  start(run, 'r2');
  await run.ended();
  assert.equal(run.endpoint.connections(), 1);
  run.request('r3');
  start(run, 'r3');
  run.runner.cancel({kind: 'cancel_attempt', reqId: 'r3', attempt: 1});
  run.request('r4');
  start(run, 'r4');
  await run.ended();
  assert.equal(run.endpoint.connections(), 2);
  assert.ok(
    !run.events.some(event => 'reqId' in event && event.reqId === 'r3'),
  );
});

test('an endpoint out of reach is told as not reached, a refusal as not run', async t => {
  const run = await fixture(t, socket => {
    socket.write(
      'HTTP/1.1 503 No\r\nreq-id: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
    );
  });
  start(run);
  await run.ended();
  const gone = await startRawEndpoint(() => undefined);
  await gone.close();
  run.runner.start(startAttempt({address: gone.address, endpoint: 'gone'}));
  await run.ended();
  assert.deepEqual(told(run), ['said_not_run', 'connect_failed']);
});

test('bytes that are no answer break the attempt', async t => {
  const run = await fixture(t, socket => {
    socket.write('nonsense\r\n\r\n');
  });
  start(run);
  await run.ended();
  assert.deepEqual(told(run), ['broken']);
});
