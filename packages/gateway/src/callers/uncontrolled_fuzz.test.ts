// Plays random callers on few connections and little memory; guards against
// any order of theirs that keeps memory, or keeps an ordinary request out.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {fuzzRuns} from '@wisterialadder/core/mocks/fuzz_runs.js';
import {startCallerHarness, type CallerSocket} from '../mocks/callers.js';

const RUN_TIMEOUT_MS = 20_000;
const BUDGET_BYTES = 100_000;
const MAX_CONNECTIONS = 5;
const LIMITS = {
  maxHeadBytes: 2_000,
  maxBodyBytes: 40_000,
  headTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const HEAD = 'POST /a HTTP/1.1\r\nhost: x\r\nreq-id: crowd\r\n';

const chunks = (bytes: number, count: number): string =>
  `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(count);

const STEP = fc.record({
  caller: fc.nat(7),
  action: fc.oneof(
    fc.constantFrom(
      HEAD,
      `${HEAD}content-length: 0\r\n\r\n`.repeat(40),
      `${HEAD}content-length: 9\r\n\r\n123456789`.repeat(40),
      'ab:12\r\n'.repeat(200),
      `${HEAD}transfer-encoding: chunked\r\n\r\n`,
      `${HEAD}content-length: 40000\r\n\r\n`,
      `${HEAD}content-length: 99999999\r\n\r\n`,
      chunks(1, 3_000),
      chunks(9_000, 4),
      `x-long: ${'y'.repeat(3_000)}\r\n`,
      '0\r\n\r\n',
      'end',
      'reset',
    ),
    fc.uint8Array({maxLength: 40}).map(b => Buffer.from(b).toString('latin1')),
  ),
});

function act({socket}: CallerSocket, action: string): void {
  if (socket.destroyed || socket.writableEnded) return;
  if (action === 'end') socket.end();
  else if (action === 'reset') socket.resetAndDestroy();
  else socket.write(action, 'latin1');
}

test('no order of uncontrolled callers keeps memory or an ordinary caller out', async t => {
  const harness = await startCallerHarness({
    budgetBytes: BUDGET_BYTES,
    maxConnections: MAX_CONNECTIONS,
  });
  const {server, open, budget} = harness;
  t.after(() => server.dispose());
  server.applyLimits(LIMITS);
  const isOpen = (id: string): boolean =>
    [...open.values()].some(({callerId}) => callerId === id);

  await fc.assert(
    fc.asyncProperty(fc.array(STEP, {maxLength: 25}), async steps => {
      const callers = new Map<number, CallerSocket>();
      for (const {caller, action} of steps) {
        let played = callers.get(caller);
        if (!played) callers.set(caller, (played = await harness.connect()));
        act(played, action);
        await sleep(0);
        assert.ok(budget.heldBytes() <= BUDGET_BYTES);
      }
      // Complete requests may hold every connection; they get answers.
      for (
        let idleMs = 0;
        idleMs < 5;
        idleMs = open.size > 0 ? 0 : idleMs + 1
      ) {
        for (const {res} of [...open.values()]) res.end();
        await sleep(1);
      }
      const ordinary = await harness.connect();
      const request = 'POST /a HTTP/1.1\r\nhost: x\r\nreq-id: ordinary\r\n';
      ordinary.socket.write(`${request}content-length: 4\r\n\r\nbody`);
      while (!isOpen('ordinary')) await sleep(1);
      for (const {socket} of [ordinary, ...callers.values()]) socket.destroy();
      while (budget.heldBytes() > 0 || server.connections() > 0) await sleep(1);
      assert.equal(open.size, 0);
    }),
    {...fuzzRuns(60), timeout: RUN_TIMEOUT_MS},
  );
});
