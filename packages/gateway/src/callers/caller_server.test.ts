import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import type {CallerLimits} from '@wisterialadder/core/configuration/caller_limits.js';
import {fuzzRuns} from '@wisterialadder/core/mocks/fuzz_runs.js';
import {startCallerHarness, type CallerHarness} from '../mocks/callers.js';

const LIMITS: CallerLimits = {
  maxHeadBytes: 400,
  maxBodyBytes: 10,
  headTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

async function fixture(t: TestContext): Promise<CallerHarness> {
  const harness = await startCallerHarness();
  harness.server.applyLimits(LIMITS);
  t.after(() => harness.server.dispose());
  return harness;
}

function post(body: string, id = 'r1', extra = ''): string {
  const length = `content-length: ${body.length}`;
  return `POST /a/b?c=d HTTP/1.1\r\nhost: x\r\nreq-id: ${id}\r\n${extra}${length}\r\n\r\n${body}`;
}

function reqIds({events}: CallerHarness): string[] {
  return events.flatMap(event =>
    event.kind === 'request_arrived' ? [event.reqId] : [],
  );
}

test('a request is reported once, after its whole body has arrived', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('body').slice(0, -2));
  await new Promise(resolve => setTimeout(resolve, 30));
  assert.equal(harness.events.length, 0);
  caller.socket.write('dy');
  await harness.waitForEvents(1);
  assert.equal(harness.open.get('r1')?.body.toString(), 'body');
});

test('two open requests with the same id are kept apart', async t => {
  const harness = await fixture(t);
  for (let i = 0; i < 2; i++) {
    (await harness.connect()).socket.write(post('x'));
  }
  await harness.waitForEvents(2);
  const [first, second] = reqIds(harness);
  assert.notEqual(first, second);
  assert.equal(harness.open.get(second ?? '')?.callerId, 'r1');
});

for (const [what, request, status] of [
  ['body over the limit', post('x'.repeat(11)), 413],
  ['head over the limit', post('', 'r1', `big: ${'y'.repeat(500)}\r\n`), 431],
  [
    'target that is not a path',
    post('').replace('/a/b?c=d', 'http://x/a'),
    400,
  ],
  ['malformed request line', 'nonsense\r\n\r\n', 400],
  [
    'request with two lengths',
    post('', 'r1', 'transfer-encoding: chunked\r\n'),
    400,
  ],
] as const) {
  test(`a ${what} is answered ${status} and is not reported`, async t => {
    const harness = await fixture(t);
    const caller = await harness.connect();
    caller.socket.write(request);
    await caller.waitForText(`HTTP/1.1 ${status}`);
    await caller.closed;
    assert.equal(harness.events.length, 0);
  });
}

/** Requests with invalid, duplicate, truncated or reordered parts. */
const MALFORMED_BYTES = fc.oneof(
  fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes)),
  fc
    .array(
      fc.constantFrom(
        'POST /a HTTP/1.1\r\n',
        'GET http://y/a HTTP/1.1\r\n',
        'POST /a HTTP/9.9\r\n',
        'host: x\r\n',
        'host: y\r\n',
        'req-id: r0\r\n',
        'content-length: 3\r\n',
        'content-length: -1\r\n',
        'content-length: 3, 5\r\n',
        'transfer-encoding: chunked\r\n',
        'transfer-encoding: chunked, gzip\r\n',
        ' folded\r\n',
        'no colon\r\n',
        '\r\n',
        '\n',
        '3\r\nabc\r\n',
        'ffffffffffffffff\r\n',
        '0\r\n\r\n',
        'abc',
      ),
      {maxLength: 12},
    )
    .map(parts => Buffer.from(parts.join(''))),
);

const RUN_TIMEOUT_MS = 5_000;

/** The open request with the caller id `valid`. */
function validRequest({open}: CallerHarness) {
  return [...open.values()].find(({callerId}) => callerId === 'valid');
}

test('malformed bytes on a connection do not affect another request', async t => {
  const harness = await fixture(t);
  await fc.assert(
    fc.asyncProperty(MALFORMED_BYTES, async bytes => {
      const malformed = await harness.connect();
      malformed.socket.on('error', () => undefined);
      malformed.socket.write(bytes);
      const valid = await harness.connect();
      valid.socket.write(post('body', 'valid'));
      while (!validRequest(harness)) {
        await new Promise(resolve => setTimeout(resolve, 2));
      }
      assert.equal(validRequest(harness)?.body.toString(), 'body');
      malformed.socket.destroy();
      valid.socket.destroy();
      while (validRequest(harness)) {
        await new Promise(resolve => setTimeout(resolve, 2));
      }
    }),
    {...fuzzRuns(60), timeout: RUN_TIMEOUT_MS},
  );
});

test('a caller that leaves is reported only if it has no answer yet', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x'));
  await harness.waitForEvents(1);
  harness.writer.refuse({
    kind: 'refuse',
    reqId: 'r1',
    refusal: 'overloaded',
    retryAfterMs: undefined,
  });
  await caller.waitForText('HTTP/1.1 503');
  caller.socket.write(post('x', 'r2'));
  await harness.waitForEvents(2);
  caller.socket.destroy();
  await harness.waitForEvents(3);
  assert.deepEqual(harness.events.at(-1), {kind: 'caller_left', reqId: 'r2'});
});

test('an answer that follows the pieces of a stream breaks it off', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post(''));
  await harness.waitForEvents(1);
  const head = {status: 200, headers: [], streamed: true};
  harness.open.get('r1')?.answers.set(1, {head, body: undefined});
  harness.writer.beginStream({
    kind: 'begin_stream',
    reqId: 'r1',
    attempt: 1,
  });
  harness.writer.deliverPiece({
    kind: 'deliver_piece',
    reqId: 'r1',
    payload: Buffer.from('id: 1\n\n'),
  });
  await caller.waitForText('id: 1');
  const late = {status: 500, headers: [], streamed: false};
  const body = Buffer.from('an error');
  harness.open.get('r1')?.answers.set(2, {head: late, body});
  harness.writer.deliverAnswer({
    kind: 'deliver_answer',
    reqId: 'r1',
    attempt: 2,
  });
  await caller.closed;
  assert.ok(!caller.text().includes('an error'));
  assert.ok(!caller.text().endsWith('0\r\n\r\n'));
});

test('a stream that breaks has no final chunk', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x'));
  await harness.waitForEvents(1);
  const head = {status: 200, headers: [], streamed: true};
  harness.open.get('r1')?.answers.set(1, {head, body: undefined});
  const reqId = 'r1';
  harness.writer.beginStream({kind: 'begin_stream', reqId, attempt: 1});
  const payload = Buffer.from('id: 1\n\n');
  harness.writer.deliverPiece({kind: 'deliver_piece', reqId, payload});
  await caller.waitForText('id: 1');
  harness.writer.breakStream({kind: 'break_stream', reqId});
  await caller.closed;
  assert.ok(!caller.text().includes('\r\n0\r\n'));
});

test('a closing server still answers and announces connection: close', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  harness.server.closeCallers(false);
  caller.socket.write(post('x'));
  await harness.waitForEvents(1);
  const head = {status: 200, headers: [], streamed: false};
  harness.open.get('r1')?.answers.set(1, {head, body: Buffer.from('ok')});
  harness.writer.deliverAnswer({
    kind: 'deliver_answer',
    reqId: 'r1',
    attempt: 1,
  });
  await caller.closed;
  assert.match(caller.text(), /connection: close\r\n/);
  assert.match(caller.text(), /ok$/);
});

test('a request that is open when the server ends is refused as not run', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x'));
  await harness.waitForEvents(1);
  await harness.server.dispose();
  await caller.closed;
  assert.match(caller.text(), /^HTTP\/1.1 503 /);
  assert.match(caller.text(), /connection: close\r\n/);
});

test('a request that is being sent when the server ends is refused as not run', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('body').slice(0, -2));
  await new Promise(resolve => setTimeout(resolve, 30));
  const ended = harness.server.dispose();
  caller.socket.write('dy');
  await Promise.all([ended, caller.closed]);
  assert.match(caller.text(), /^HTTP\/1.1 503 /);
  assert.deepEqual(harness.events, []);
});

test('a request that is never sent completely does not keep the server', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('body').slice(0, -2));
  await new Promise(resolve => setTimeout(resolve, 30));
  const startedMs = performance.now();
  await harness.server.dispose();
  assert.ok(performance.now() - startedMs < 1_000);
  await caller.closed;
});

for (const [what, headers] of [
  ['a character beyond Latin-1', ['x-note', '\u20ac']],
  ['a line break', ['x-note', 'a\r\nb: c']],
  ['no valid name', ['x note', 'a']],
] as const) {
  test(`an answer whose head has ${what} is not passed on in part`, async t => {
    const harness = await fixture(t);
    const caller = await harness.connect();
    caller.socket.write(post('x'));
    await harness.waitForEvents(1);
    const head = {status: 200, headers: [...headers], streamed: true};
    harness.open.get('r1')?.answers.set(1, {head, body: undefined});
    const reqId = 'r1';
    harness.writer.beginStream({kind: 'begin_stream', reqId, attempt: 1});
    const payload = Buffer.from('id: 1\n\n');
    harness.writer.deliverPiece({kind: 'deliver_piece', reqId, payload});
    harness.writer.endStream({kind: 'end_stream', reqId});
    await caller.closed;
    assert.match(caller.text(), /^HTTP\/1.1 502 /);
    assert.ok(!caller.text().includes('id: 1'));
    assert.deepEqual(harness.events.at(-1), {kind: 'caller_left', reqId});
  });
}

test('a stream that breaks does not look complete to a caller of HTTP/1.0', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x').replace('HTTP/1.1', 'HTTP/1.0'));
  let reset = false;
  caller.socket.on('error', () => (reset = true));
  await harness.waitForEvents(1);
  const head = {status: 200, headers: [], streamed: true};
  harness.open.get('r1')?.answers.set(1, {head, body: undefined});
  const reqId = 'r1';
  harness.writer.beginStream({kind: 'begin_stream', reqId, attempt: 1});
  const payload = Buffer.from('id: 1\n\n');
  harness.writer.deliverPiece({kind: 'deliver_piece', reqId, payload});
  await caller.waitForText('id: 1');
  harness.writer.breakStream({kind: 'break_stream', reqId});
  await caller.closed;
  assert.ok(reset);
});

// Counted with a space behind each colon, such a head was over the limit.
test('a head of short lines within the limit is not refused', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  const start =
    'POST /a HTTP/1.1\r\nhost:x\r\nreq-id:r1\r\ncontent-length:0\r\n';
  const lines = Math.floor((LIMITS.maxHeadBytes - start.length - 2) / 4);
  caller.socket.write(`${start}${'a:\r\n'.repeat(lines)}\r\n`);
  await harness.waitForEvents(1);
  assert.equal(harness.open.get('r1')?.head.rawHeaders.length, 2 * (lines + 3));
});

test('a request behind one that is refused is neither run nor answered', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x'.repeat(11)) + post('x', 'r2'));
  await caller.closed;
  assert.equal(caller.text().match(/HTTP\/1.1/g)?.length, 1);
  assert.deepEqual(harness.events, []);
});

test('a request behind one whose caller has left is not reported', async t => {
  const harness = await fixture(t);
  const caller = await harness.connect();
  caller.socket.write(post('x') + post('x'.repeat(10), 'r2'));
  await harness.waitForEvents(1);
  caller.socket.destroy();
  await harness.waitForEvents(2);
  assert.deepEqual(harness.events.at(-1), {kind: 'caller_left', reqId: 'r1'});
  while (harness.server.connections() > 0) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
  assert.equal(harness.events.length, 2);
  assert.equal(harness.budget.heldBytes(), 0);
});
