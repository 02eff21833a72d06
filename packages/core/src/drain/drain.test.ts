import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Exit} from '../router/actions/exit.js';
import type {WriteLog} from '../router/actions/write_log.js';
import {createDrain, type DrainParts} from './drain.js';

type Action = Exit | WriteLog;

/** A drain on a virtual clock, with the exit codes that it asked for. */
function drainFixture(limitMs: number | undefined) {
  const exits: number[] = [];
  let aborted = 0;
  const parts: DrainParts<ReturnType<typeof context>> = {
    noticeMs: () => 300,
    limitMs: () => limitMs,
    abortAll: () => (aborted += 1),
  };
  const drain = createDrain(parts);

  function context(nowMs: number) {
    const emit = (action: Action): void => {
      if (action.kind === 'exit') exits.push(action.code);
    };
    return {nowMs, wallMs: nowMs, random: () => 0, emit};
  }

  return {
    drain,
    exits,
    aborted: () => aborted,
    stop: (nowMs: number, inFlight: number) =>
      drain.stopRequested(context(nowMs), inFlight),
    advance: (nowMs: number, inFlight: number) =>
      drain.advance(context(nowMs), inFlight),
  };
}

test('requests are taken during the notice, even if none is in flight', () => {
  const {drain, exits, stop, advance} = drainFixture(undefined);
  advance(0, 0);
  assert.equal(drain.stage(), 'running');
  stop(10, 0);
  advance(309, 0);
  assert.equal(drain.stage(), 'notice');
  advance(310, 0);
  assert.equal(drain.stage(), 'stopped');
  assert.deepEqual(exits, [0]);
});

test('the process ends with the last request', () => {
  const {drain, exits, stop, advance, aborted} = drainFixture(undefined);
  stop(0, 2);
  advance(60_000, 1);
  assert.equal(drain.stage(), 'draining');
  advance(60_001, 0);
  assert.deepEqual(exits, [0]);
  assert.equal(aborted(), 0);
});

test('what is in flight at the limit is aborted, and the exit code says so', () => {
  const {exits, stop, advance, aborted} = drainFixture(1_000);
  stop(0, 2);
  advance(999, 2);
  assert.equal(aborted(), 0);
  advance(1_000, 2);
  assert.deepEqual(exits, [1]);
  assert.equal(aborted(), 1);
});

test('a second request to stop aborts at once, a third does nothing', () => {
  const {exits, stop, aborted} = drainFixture(undefined);
  stop(0, 2);
  stop(5, 2);
  stop(6, 0);
  assert.deepEqual(exits, [1]);
  assert.equal(aborted(), 1);
});
