import type {LeaseContext} from './lease_context.js';
import {CONTEND_JITTER_FRACTION, MARGIN_FRACTION} from './lease_timing.js';

/** When a process may try to acquire the lease. */
export interface Contention {
  /** A record that may be valid was read, or records were missed. */
  recordRead(nowMs: number, lastsMs: number): void;
  /** Whether every record of the stream has been read. */
  caughtUp(value: boolean): void;
  /** Whether to try now; `free` says that no lease needs to be waited for. */
  shouldTry(ctx: LeaseContext, free: boolean): boolean;
}

/** Creates the contention of a process that has read nothing. */
export function createContention(durationMs: number): Contention {
  let isCaughtUp = false;
  let waitUntilMs = 0;
  /** Jitter ends here; undefined while the lease may be held. */
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
    recordRead: (nowMs, lastsMs) => {
      waitUntilMs = nowMs + lastsMs * (1 + MARGIN_FRACTION);
      tryAtMs = undefined;
    },
    caughtUp: value => {
      isCaughtUp = value;
    },
    shouldTry,
  };
}
