import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {attemptAction, createAttemptHarness} from '../mocks/attempts.js';
import {endlessReply} from '../mocks/endless_reply.js';
import {peakGrowth} from '../mocks/memory_growth.js';
import {startRawEndpoint} from '../mocks/raw_endpoint.js';

const OK = 'HTTP/1.1 200 OK\r\nreq-id: r1\r\n';
const EVENTS = `${OK}content-type: text/event-stream\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const NOT_RUN = 'HTTP/1.1 503 No\r\nreq-id: r1\r\nnot-run: 1\r\n';

/** Far less than an entry VM has, far more than an answer needs. */
const MAX_MEMORY_BYTES = 48 * 1_048_576;
/** An attempt that does not end by itself is cancelled then. */
const DEADLINE_MS = 5_000;

async function playEndless(t: TestContext, start: string, repeated: string) {
  const endless = endlessReply(start, repeated);
  const endpoint = await startRawEndpoint(endless.reply);
  const harness = createAttemptHarness();
  t.after(async () => {
    await harness.runner.dispose();
    await endpoint.close();
  });
  harness.request('r1');
  harness.runner.start(attemptAction({address: endpoint.address}));
  const cancel = setTimeout(
    () =>
      harness.runner.cancel({kind: 'cancel_attempt', reqId: 'r1', attempt: 1}),
    DEADLINE_MS,
  );
  const growth = await peakGrowth(endless.closed);
  clearTimeout(cancel);
  const end = harness.events.find(({kind}) => kind === 'attempt_failed');
  const failure = end?.kind === 'attempt_failed' ? end.failure : 'cancelled';
  return {growth, failure, sentBytes: endless.sentBytes()};
}

const x = 'x'.repeat(1_000);

for (const [where, start, repeated, expected] of [
  ['the status line', 'HTTP/1.1 200 ', x, ['broken']],
  ['bytes that are no answer', '', '\x00\xff\x7f', ['broken']],
  ['empty lines before the head', '', '\r\n', ['broken']],
  ['interim answers', '', 'HTTP/1.1 102 Wait\r\n\r\n', ['broken']],
  ['the name of a header', `${OK}`, x, ['broken']],
  ['the value of a header', `${OK}long: `, x, ['broken']],
  ['the number of headers', OK, 'a: b\r\n', ['broken']],
  [
    'a body with a length',
    `${OK}content-length: 99999999999\r\n\r\n`,
    x,
    ['broken'],
  ],
  ['a body without a length', `${OK}\r\n`, x, ['broken']],
  ['a chunked body', OK + CHUNKED, `3e8\r\n${x}\r\n`, ['broken']],
  // Content that arrives slowly; the deadline may end it before its length.
  [
    'a chunk of one byte each',
    OK + CHUNKED,
    '1\r\nx\r\n',
    ['broken', 'cancelled'],
  ],
  ['the body of a refusal', `${NOT_RUN}\r\n`, x, ['said_not_run']],
  [
    'the body of a refusal with a length',
    `${NOT_RUN}content-length: 99999999999\r\n\r\n`,
    x,
    ['said_not_run'],
  ],
  ["a chunk's extension", `${OK}${CHUNKED}1;a=`, x, ['broken']],
  ["a chunk's size", `${OK}${CHUNKED}0`, '0', ['broken']],
  ['a trailer', `${OK}${CHUNKED}0\r\n`, `a: ${x}\r\n`, ['broken']],
  ['one event', `${EVENTS}\r\nid: 1\ndata: `, x, ['broken']],
  [
    'one event in chunks of one byte',
    `${EVENTS}${CHUNKED}`,
    '1\r\nx\r\n',
    ['broken'],
  ],
  ['comments of a stream', `${EVENTS}\r\n`, ': ping\n\n', ['broken']],
] as const) {
  test(`${where} without end takes bounded memory and ends`, async t => {
    const {growth, failure} = await playEndless(t, start, repeated);
    assert.ok((expected as readonly string[]).includes(failure), failure);
    assert.ok(growth < MAX_MEMORY_BYTES, `${growth} bytes`);
  });
}

test('bytes without end after a whole answer close its connection', async t => {
  const answer = `${OK}content-length: 1\r\n\r\nx`;
  const endless = endlessReply(answer, 'y'.repeat(1_000));
  const endpoint = await startRawEndpoint(endless.reply);
  const harness = createAttemptHarness();
  t.after(async () => {
    await harness.runner.dispose();
    await endpoint.close();
  });
  harness.request('r1');
  harness.runner.start(attemptAction({address: endpoint.address}));
  const growth = await peakGrowth(endless.closed);
  assert.deepEqual(
    harness.events.map(({kind}) => kind),
    ['answer_received'],
  );
  assert.ok(growth < MAX_MEMORY_BYTES, `${growth} bytes`);
});

const AT_ONCE = 60;
/** A small VM has 250 MB, of which a process without requests takes 75. */
const MAX_TOTAL_BYTES = 150 * 1_048_576;

// One gateway kept what many engines sent without end, and ran out of memory.
for (const [what, start] of [
  ['heads', OK],
  ['bodies', `${OK}\r\n`],
  ['events', `${EVENTS}\r\nid: 1\ndata: `],
] as const) {
  test(`LOST: ${AT_ONCE} ${what} without end at once leave room on a small VM`, async t => {
    const harness = createAttemptHarness();
    const replies = Array.from({length: AT_ONCE}, () => endlessReply(start, x));
    const endpoints = await Promise.all(
      replies.map(({reply}) => startRawEndpoint(reply)),
    );
    t.after(async () => {
      await harness.runner.dispose();
      await Promise.all(endpoints.map(endpoint => endpoint.close()));
    });
    endpoints.forEach(({address}, i) => {
      const reqId = `r${i}`;
      harness.request(reqId);
      const endpoint = `e${i}`;
      harness.runner.start(attemptAction({reqId, endpoint, address}));
    });
    const closed = Promise.all(replies.map(reply => reply.closed));
    const growth = await peakGrowth(closed);
    const ended = harness.events.filter(({kind}) => kind === 'attempt_failed');
    assert.equal(ended.length, AT_ONCE);
    assert.ok(growth < MAX_TOTAL_BYTES, `${growth} bytes`);
  });
}
