import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogRead} from '../router/events/log_read.js';
import type {LogReadFailed} from '../router/events/log_read_failed.js';
import type {LeaseContext} from './lease_context.js';
import type {LeaseHold} from './lease_hold.js';

/** Acquires, renews and releases the lease of one process. */
export interface Lease {
  /** The own lease, if it is certainly held at this time. */
  hold(nowMs: number): LeaseHold | undefined;
  start(ctx: LeaseContext): void;
  /** Drops an expired lease; called before each event. */
  expire(ctx: LeaseContext): void;
  logRead(ctx: LeaseContext, event: LogRead): void;
  logReadFailed(event: LogReadFailed): void;
  appendSettled(event: AppendSettled): void;
  /** Acquires or renews if that is due; called after each event. */
  settle(ctx: LeaseContext): void;
  /** Stops using a lease that another holder seems to have taken. */
  abandon(ctx: LeaseContext, reason: string): void;
  /** Stops contending, and releases the lease if it is held. */
  release(ctx: LeaseContext): void;
  /** Whether a release is complete or is not waited for any longer. */
  released(nowMs: number): boolean;
}
