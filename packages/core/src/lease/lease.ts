import type {AppendSettled} from '../router/events/append_settled.js';
import type {LogRead} from '../router/events/log_read.js';
import type {LogReadFailed} from '../router/events/log_read_failed.js';
import type {LeaseContext} from './lease_context.js';
import type {LeaseHold} from './lease_hold.js';

/** Contends for the lease, keeps it and gives it up. */
export interface Lease {
  /** The own lease, if it is certain at this time. */
  hold(nowMs: number): LeaseHold | undefined;
  start(ctx: LeaseContext): void;
  /** Ends a lease that has run out; called before each event. */
  expire(ctx: LeaseContext): void;
  logRead(ctx: LeaseContext, event: LogRead): void;
  logReadFailed(event: LogReadFailed): void;
  appendSettled(event: AppendSettled): void;
  /** Contends or renews if that is due; called after each event. */
  settle(ctx: LeaseContext): void;
  /** Stops using a lease that another holder seems to have taken. */
  abandon(ctx: LeaseContext, reason: string): void;
  /** Contends no more, and releases the lease if it is held. */
  release(ctx: LeaseContext): void;
  /** Whether a release has ended, or need not be waited for. */
  released(nowMs: number): boolean;
}
