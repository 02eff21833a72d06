// Guards against answers of earlier attempts that pass as the answer to a later
// one because both attempts have the same caller id.
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
  attemptAction,
  createAttemptHarness,
  type AttemptHarness,
} from '../mocks/attempts.js';
import {startRawEndpoint, type RawEndpoint} from '../mocks/raw_endpoint.js';

interface Fixture extends AttemptHarness {
  endpoint: RawEndpoint;
}

/** An endpoint that numbers the requests it gets, over all connections. */
async function fixture(
  t: TestContext,
  reply: (socket: Socket, id: string, number: number) => void,
): Promise<Fixture> {
  let number = 0;
  const endpoint = await startRawEndpoint((socket, request) => {
    number += 1;
    const id = /req-id: (\S+)/.exec(request)?.[1] ?? '';
    reply(socket, id, number);
  });
  const harness = createAttemptHarness();
  t.after(async () => {
    await harness.runner.dispose();
    await endpoint.close();
  });
  return {...harness, endpoint};
}

function answer(status: number, id: string, body = '', headers = ''): string {
  const name = id === '' ? '' : `req-id: ${id}\r\n`;
  const length = `content-length: ${body.length}\r\n`;
  return `HTTP/1.1 ${status} X\r\n${name}${headers}${length}\r\n${body}`;
}

function refusal(id: string, status = 503, body = ''): string {
  return answer(status, id, body, 'not-run: 1\r\n');
}

/** Plays one attempt; returns its failure or the body of its answer. */
async function play(
  {runner, endpoint, open, nextEnd}: Fixture,
  reqId: string,
  attempt: number,
): Promise<string> {
  const ended = nextEnd();
  const {address} = endpoint;
  runner.start(attemptAction({address, reqId, attempt, streamed: false}));
  const end = await ended;
  if (end.kind === 'attempt_failed') return end.failure;
  return String(open.get(reqId)?.answers.get(attempt)?.body);
}

for (const [what, first] of [
  ['refusal as full', refusal('r1')],
  ['refusal with a body', refusal('r1', 503, 'no room')],
  ['refusal for a limit', refusal('r1', 429)],
  ['refusal of another instance', refusal('r1', 421)],
  ['success', answer(200, 'r1', 'old')],
] as const) {
  test(`a copy of the ${what} does not answer the next attempt of its request`, async t => {
    const copied = new Set<Socket>();
    const harness = await fixture(t, (socket, _id, number) => {
      if (number === 1) {
        copied.add(socket);
        return socket.write(first);
      }
      if (copied.has(socket)) socket.write(first);
      return socket.write(answer(200, 'r1', 'new'));
    });
    harness.request('r1');
    await play(harness, 'r1', 1);
    assert.equal(await play(harness, 'r1', 2), 'new');
  });
}

for (const [what, id, expected] of [
  ['names another request', 'r0', 'broken'],
  ['names no request', '', 'said_not_run'],
] as const) {
  test(`a refusal on a new connection that ${what}`, async t => {
    const harness = await fixture(t, socket => socket.write(refusal(id)));
    harness.request('r1');
    assert.equal(await play(harness, 'r1', 1), expected);
  });
}

test('a refusal without a name on a used connection refuses nothing', async t => {
  const harness = await fixture(t, (socket, id, number) =>
    socket.write(number === 1 ? answer(200, id) : refusal('')),
  );
  for (const id of ['r1', 'r2']) harness.request(id);
  await play(harness, 'r1', 1);
  assert.equal(await play(harness, 'r2', 1), 'broken');
  assert.equal(harness.endpoint.connections(), 1);
});

for (const id of ['', 'x'.repeat(65)]) {
  test(`a request with an id of ${id.length} characters gets a new connection`, async t => {
    const harness = await fixture(t, socket => socket.write(answer(200, id)));
    for (const reqId of ['r1', 'r2']) {
      harness.request(reqId);
      harness.open.get(reqId)!.callerId = id;
      await play(harness, reqId, 1);
    }
    assert.equal(harness.endpoint.connections(), 2);
  });
}
