import {createTestRandom} from '../../mocks/step_harness.js';
import type {Append} from '../../router/actions/append.js';
import {createLease} from '../create_lease.js';
import type {LeaseAction} from '../lease_action.js';
import type {LeaseContext} from '../lease_context.js';
import type {LeaseHold} from '../lease_hold.js';
import type {TestLog} from './test_log.js';

/** Duration of the lease in tests. */
export const DURATION_MS = 1_000;

/** A process with a lease, a clock and a connection to the log. */
export interface LeaseClient {
  /** Advances the clock; appends are sent but not delivered. */
  advance(ms: number): void;
  /** Advances the clock until an append is sent; returns the time taken. */
  advanceUntilSent(): number;
  /** Advances the clock while the process does not run. */
  pause(ms: number): void;
  /** Delivers the appends that were sent; returns their number. */
  deliver(answer?: 'appended' | 'not_appended' | 'unknown'): number;
  /** Reads the stream up to its end. */
  read(): void;
  release(): void;
  hold(): LeaseHold | undefined;
  nowMs(): number;
}

/** Creates a client; by default its wall clock jumps at random. */
export function createLeaseClient(
  log: TestLog,
  holder: string,
  wall: () => number = createTestRandom(7),
): LeaseClient {
  const lease = createLease({holder, durationMs: DURATION_MS});
  const random = createTestRandom(holder.length);
  let undelivered: Append[] = [];
  let clockMs = 5_000;
  let next = 0;

  function run(work: (ctx: LeaseContext) => void): void {
    const emit = (action: LeaseAction): void => {
      if (action.kind === 'append') undelivered.push(action);
    };
    const wallMs = 1.7e12 * wall();
    const ctx = {nowMs: clockMs, wallMs, random, emit};
    lease.expire(ctx);
    work(ctx);
    lease.settle(ctx);
  }

  function advance(ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      clockMs += 10;
      run(() => undefined);
    }
  }

  function advanceUntilSent(): number {
    const fromMs = clockMs;
    while (undelivered.length === 0) advance(10);
    return clockMs - fromMs;
  }

  run(ctx => lease.start(ctx));

  return {
    advance,
    advanceUntilSent,
    pause: ms => {
      clockMs += ms;
    },
    deliver: (answer = 'appended') => {
      const sent = undelivered;
      undelivered = [];
      for (const {stream, data, appendId} of sent) {
        const written = answer !== 'not_appended';
        const offset = written ? log.append(stream, data) : -1;
        const event = {kind: 'append_settled' as const, appendId};
        run(() => lease.appendSettled({...event, result: answer, offset}));
      }
      return sent.length;
    },
    read: () => {
      const event = log.read('lease', next);
      next = event.end;
      run(ctx => lease.logRead(ctx, event));
    },
    release: () => run(lease.release),
    hold: () => lease.hold(clockMs),
    nowMs: () => clockMs,
  };
}
