import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createAttemptHarness,
  attemptAction,
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

function notFound(id: string): string {
  return `HTTP/1.1 404 No\r\nreq-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

function start({runner, endpoint}: Fixture, reqId = 'r1'): void {
  runner.start(attemptAction({address: endpoint.address, reqId}));
}

/** Kinds of the events, or the failure of a failed attempt. */
function outcomes({events}: Fixture): string[] {
  return events.map(event =>
    event.kind === 'attempt_failed' ? event.failure : event.kind,
  );
}

test('a stream is reported in complete pieces only', async t => {
  const harness = await fixture(t, socket => {
    socket.write(STREAM_HEAD + CHUNKED + chunk('id: 1\ndata: a\n\nid: 2\nda'));
    socket.write(`${chunk('ta: b\n\n')}0\r\n\r\n`);
  });
  start(harness);
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), [
    'stream_started',
    'piece_received',
    'piece_received',
    'stream_ended',
  ]);
  const pieces = harness.events.flatMap(event =>
    event.kind === 'piece_received'
      ? [Buffer.from(event.payload).toString()]
      : [],
  );
  assert.deepEqual(pieces, ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']);
});

test('a stream that ends within a piece is reported as disconnected', async t => {
  const harness = await fixture(t, socket => {
    socket.end(STREAM_HEAD + CHUNKED + chunk('id: 1\ndata: a\n\nid: 2\n'));
  });
  start(harness);
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), [
    'stream_started',
    'piece_received',
    'disconnected',
  ]);
});

for (const [what, rest, expected] of [
  ['no event', '', 'disconnected'],
  ['a part of an event', 'id: 1\nda', 'disconnected'],
  ['a whole event and a part of one', 'id: 1\n\nid: 2\n', 'disconnected'],
  ['whole events', 'id: 1\n\nid: 2\n\n', 'stream_ended'],
] as const) {
  test(`a stream without a length that ends after ${what}`, async t => {
    const harness = await fixture(t, socket =>
      socket.end(`${STREAM_HEAD}\r\n${rest}`),
    );
    start(harness);
    const end = await harness.nextEnd();
    assert.equal(outcomes(harness).at(-1), expected);
    // Nothing shows that it is whole.
    if (end.kind === 'stream_ended') assert.equal(end.delimited, false);
  });
}

for (const [ending, finish, expected] of [
  ['closed', (socket: Socket) => socket.end(), 'answer_received'],
  ['reset', (socket: Socket) => socket.resetAndDestroy(), 'disconnected'],
  [
    'reset right after its close',
    (socket: Socket) => socket.end(() => socket.resetAndDestroy()),
    'disconnected',
  ],
] as const) {
  test(`an answer without a length whose connection is ${ending}`, async t => {
    const harness = await fixture(t, socket => {
      socket.write('HTTP/1.1 200 OK\r\nreq-id: r1\r\n\r\nhalf', () =>
        setTimeout(() => finish(socket), 20),
      );
    });
    start(harness);
    await harness.nextEnd();
    assert.deepEqual(outcomes(harness), [expected]);
  });
}

test('an answer with the id of another request is rejected', async t => {
  const harness = await fixture(t, socket => {
    socket.write('HTTP/1.1 200 OK\r\nreq-id: r0\r\ncontent-length: 1\r\n\r\nx');
  });
  start(harness);
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), ['broken']);
});

test('a connection with extra bytes after its answer is not reused', async t => {
  const answer = (id: string): string =>
    `HTTP/1.1 200 OK\r\nreq-id: ${id}\r\ncontent-length: 1\r\n\r\nx`;
  const harness = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    socket.write(answer(id) + (id === 'r1' ? answer('r1') : ''));
  });
  start(harness);
  await harness.nextEnd();
  harness.request('r2');
  start(harness, 'r2');
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), ['answer_received', 'answer_received']);
  assert.equal(harness.endpoint.connections(), 2);
});

test('a healthy connection is reused, and closed by a cancelled attempt', async t => {
  const harness = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    if (id === 'r3') return;
    socket.write(
      `HTTP/1.1 200 OK\r\nreq-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    );
  });
  start(harness);
  await harness.nextEnd();
  harness.request('r2');
  start(harness, 'r2');
  await harness.nextEnd();
  assert.equal(harness.endpoint.connections(), 1);
  harness.request('r3');
  start(harness, 'r3');
  harness.runner.cancel({kind: 'cancel_attempt', reqId: 'r3', attempt: 1});
  harness.request('r4');
  start(harness, 'r4');
  await harness.nextEnd();
  assert.equal(harness.endpoint.connections(), 2);
  assert.ok(
    !harness.events.some(event => 'reqId' in event && event.reqId === 'r3'),
  );
});

test('an unreachable endpoint is a failed connect, a refusal is not run', async t => {
  const harness = await fixture(t, socket => {
    socket.write(
      'HTTP/1.1 503 No\r\nreq-id: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
    );
  });
  start(harness);
  await harness.nextEnd();
  const gone = await startRawEndpoint(() => undefined);
  await gone.close();
  harness.runner.start(
    attemptAction({address: gone.address, endpoint: 'gone'}),
  );
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), ['said_not_run', 'connect_failed']);
});

test('a malformed answer fails the attempt as broken', async t => {
  const harness = await fixture(t, socket => {
    socket.write('nonsense\r\n\r\n');
  });
  start(harness);
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), ['broken']);
});

test('an address that cannot be connected to fails and takes no connection', async t => {
  const harness = await fixture(t, socket => socket.write(notFound('r1')));
  for (const address of ['10.0.0.1:70000', '10.0.0.999:1', 'no where', '']) {
    harness.runner.start(attemptAction({address, maxConnections: 1}));
  }
  harness.runner.start(
    attemptAction({address: harness.endpoint.address, maxConnections: 1}),
  );
  await harness.nextEnd();
  assert.deepEqual(outcomes(harness), [
    ...Array<string>(4).fill('connect_failed'),
    'answer_received',
  ]);
});

test('a request that cannot be encoded is rejected, not a failed connect', async t => {
  const harness = await fixture(t, () => undefined);
  harness.open.get('r1')!.head.target = '/\u{1f600}';
  start(harness);
  await sleep(20);
  assert.deepEqual(outcomes(harness), ['rejected']);
  assert.equal(harness.endpoint.connections(), 0);
});

for (const [what, second] of [
  ['answer', notFound('r1')],
  ['stream', STREAM_HEAD + CHUNKED + chunk('id: 1\ndata: a\n\n')],
]) {
  test(`a late second copy of an earlier ${what} does not reach the next request`, async t => {
    const harness = await fixture(t, (socket, request) => {
      const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
      socket.write(id === 'r1' ? notFound('r1') : second + notFound(id));
    });
    start(harness);
    await harness.nextEnd();
    harness.request('r2');
    start(harness, 'r2');
    await harness.nextEnd();
    assert.equal(harness.endpoint.connections(), 1);
    assert.deepEqual(outcomes(harness), ['answer_received', 'broken']);
    assert.ok(!harness.open.get('r2')?.answers.size);
  });
}

test('a refusal that is written once more does not refuse the next request', async t => {
  const refusal = (id: string): string =>
    `HTTP/1.1 503 No\r\nreq-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`;
  const harness = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    socket.write(id === 'r1' ? refusal('r1') : refusal('r1') + notFound(id));
  });
  start(harness);
  await harness.nextEnd();
  harness.request('r2');
  start(harness, 'r2');
  await harness.nextEnd();
  assert.equal(harness.endpoint.connections(), 1);
  assert.deepEqual(outcomes(harness), ['said_not_run', 'broken']);
});

test('the failure of an attempt says which connection and answer it rests on', async t => {
  const harness = await fixture(t, (socket, request) => {
    const id = /req-id: (\w+)/.exec(request)?.[1] ?? '';
    if (id === 'r1') socket.write(notFound(id));
    else if (id === 'r2') socket.write(notFound('r1'));
    else socket.destroy();
  });
  for (const id of ['r1', 'r2', 'r3']) {
    harness.request(id);
    start(harness, id);
    await harness.nextEnd();
  }
  const evidence = harness.events.flatMap(event =>
    event.kind === 'attempt_failed' ? [event.evidence] : [],
  );
  assert.deepEqual(evidence, [
    {connection: 1, earlierRequests: 1, answer: 'other'},
    {connection: 2, earlierRequests: 0, answer: 'none'},
  ]);
});

for (const cut of [9, 17, 20, 40, 54, 56]) {
  test(`an answer that ends after ${cut} bytes of its head is not delivered`, async t => {
    const answer = `HTTP/1.1 200 OK\r\nreq-id: r1\r\ncontent-type: text/plain\r\n\r\nbody`;
    const harness = await fixture(t, socket =>
      socket.end(answer.slice(0, cut)),
    );
    start(harness);
    await harness.nextEnd();
    assert.deepEqual(outcomes(harness), ['disconnected']);
    assert.ok(!harness.open.get('r1')?.answers.size);
  });
}

for (const [what, answer] of [
  ['with a length', 'content-length: 9\r\n\r\nhalf'],
  ['in chunks', `${CHUNKED}4\r\nhalf\r\n`],
  ['within a chunk', `${CHUNKED}9\r\nhalf`],
  ['without a body yet', 'content-length: 9\r\n\r\n'],
]) {
  test(`an answer ${what} that breaks off halfway is not delivered`, async t => {
    const harness = await fixture(t, socket =>
      socket.end(`HTTP/1.1 200 OK\r\nreq-id: r1\r\n${answer}`),
    );
    start(harness);
    await harness.nextEnd();
    assert.deepEqual(outcomes(harness), ['disconnected']);
    assert.ok(!harness.open.get('r1')?.answers.size);
  });
}
