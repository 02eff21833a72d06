import type {LeaseContext} from './lease_context.js';
import {
  CONTEND_JITTER_FRACTION,
  CLOCK_RATE_MARGIN_FRACTION,
} from './lease_timing.js';

/** Decides when a process may try to acquire the lease. */
export interface Contention {
  /** Restarts the wait: a record that may be valid was read or missed. */
  recordRead(nowMs: number, leaseMs: number): void;
  /** Sets whether every record of the stream has been read. */
  setCaughtUp(value: boolean): void;
  /** Whether to try now; `free` means that no lease has to expire first. */
  shouldTry(ctx: LeaseContext, free: boolean): boolean;
}

/** Creates the contention of a process that has read no record. */
export function createContention(durationMs: number): Contention {
  let isCaughtUp = false;
  let waitUntilMs = 0;
  /** End of the jitter; undefined while the lease may be held. */
  let tryAtMs: number | undefined;

  function shouldTry(ctx: LeaseContext, free: boolean): boolean {
    const {nowMs} = ctx;
    if (!isCaughtUp || (!free && nowMs < waitUntilMs)) {
      tryAtMs = undefined;
      return false;
    }
    const jitterMs = durationMs * CONTEND_JITTER_FRACTION;
    tryAtMs ??= nowMs + jitterMs * ctx.random();
    return nowMs >= tryAtMs;
  }

  return {
    recordRead: (nowMs, leaseMs) => {
      waitUntilMs = nowMs + leaseMs * (1 + CLOCK_RATE_MARGIN_FRACTION);
      tryAtMs = undefined;
    },
    setCaughtUp: value => {
      isCaughtUp = value;
    },
    shouldTry,
  };
}
