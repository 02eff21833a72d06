import type {AliveMembers} from '../membership/alive_members.js';
import type {AppendSettled} from '../router/events/append_settled.js';
import type {RouterContext} from '../router/router_context.js';
import {rendezvousOrder} from '../shared/rendezvous.js';
import type {TableFold} from './table_fold.js';

const RANK_KEY = 'table-snapshot';
/** Edits after which a new reader would have much to fold. */
const RECORDS_BETWEEN = 500;
/** Time in which a member sees the snapshot of one with a lower rank. */
const RANK_STEP_MS = 2_000;
/** The rank is costly to compute in a large fleet. */
const CHECK_MS = 100;
/** Longer than the timeout of an append. */
const RETRY_MS = 5_000;

/** Decides when this router appends a snapshot. */
export interface SnapshotSchedule {
  /** A snapshot record was read at an offset. */
  seen(ctx: RouterContext, offset: number): void;
  appendSettled(ctx: RouterContext, event: AppendSettled): void;
  /** Appends a snapshot if one is due; for a table that is the newest. */
  advance(ctx: RouterContext): void;
}

/**
 * Creates a schedule. `retentionMs` is the log's retention period; a snapshot
 * is due after a quarter of it.
 */
export function createSnapshotSchedule(
  members: AliveMembers,
  fold: TableFold,
  retentionMs: number,
): SnapshotSchedule {
  const intervalMs = retentionMs / 4;
  let newestOffset = -1;
  let ageDueMs: number | undefined;
  let countDueMs: number | undefined;
  let checkAtMs = 0;
  let appends = 0;

  function seen(ctx: RouterContext, offset: number): void {
    if (offset <= newestOffset) return;
    // A record that was already there at the start has an unknown age.
    const first = ageDueMs === undefined;
    newestOffset = offset;
    countDueMs = undefined;
    ageDueMs = ctx.nowMs + (first ? intervalMs / 2 : intervalMs);
  }

  function advance(ctx: RouterContext): void {
    ageDueMs ??= ctx.nowMs + intervalMs / 2;
    if (fold.next() - newestOffset > RECORDS_BETWEEN) countDueMs ??= ctx.nowMs;
    const dueMs = Math.min(ageDueMs, countDueMs ?? Infinity);
    if (ctx.nowMs < Math.max(dueMs, checkAtMs)) return;
    checkAtMs = ctx.nowMs + CHECK_MS;
    if (ctx.nowMs < dueMs + rankDelayMs()) return;
    checkAtMs = ctx.nowMs + Math.min(RETRY_MS, intervalMs / 4);
    appends += 1;
    ctx.emit({
      kind: 'append',
      appendId: appendId(),
      stream: 'table',
      data: JSON.stringify(fold.snapshot()),
    });
    const fields = {next: fold.next(), dueMs: Math.round(ctx.nowMs - dueMs)};
    ctx.emit({kind: 'write_log', event: 'WL2004', fields});
  }

  function rankDelayMs(): number {
    const order = rendezvousOrder(RANK_KEY, members.alive());
    const stepMs = Math.min(RANK_STEP_MS, intervalMs / (order.length + 1));
    return Math.max(0, order.indexOf(members.self)) * stepMs;
  }

  function appendId(): string {
    return `table-snapshot-${appends}`;
  }

  function appendSettled(ctx: RouterContext, event: AppendSettled): void {
    if (event.appendId !== appendId()) return;
    // An unknown or failed append is repeated after the pause.
    if (event.result === 'appended') seen(ctx, event.offset);
  }

  return {seen, appendSettled, advance};
}
