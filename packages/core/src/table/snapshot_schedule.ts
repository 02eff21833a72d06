import type {AliveMembers} from '../membership/alive_members.js';
import type {AppendSettled} from '../router/events/append_settled.js';
import type {RouterContext} from '../router/router_context.js';
import {rendezvousOrder} from '../shared/rendezvous.js';
import type {TableFold} from './table_fold.js';

const RANK_KEY = 'table-snapshot';
/** Bounds the records that a new reader has to replay. */
const MAX_RECORDS_BETWEEN = 500;
/** Time for a member to see the snapshot of one with a lower rank. */
const RANK_STEP_MS = 2_000;
/** The rank is expensive to compute in a large fleet. */
const CHECK_INTERVAL_MS = 100;
/** Longer than the append timeout. */
const RETRY_INTERVAL_MS = 5_000;

/** Decides when this router appends a snapshot. */
export interface SnapshotSchedule {
  /** Records that a snapshot was read at an offset. */
  snapshotRead(ctx: RouterContext, offset: number): void;
  appendSettled(ctx: RouterContext, event: AppendSettled): void;
  /** Appends a snapshot if one is due; the table must be up to date. */
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

  function snapshotRead(ctx: RouterContext, offset: number): void {
    if (offset <= newestOffset) return;
    // The age of a snapshot from before the start is unknown.
    const first = ageDueMs === undefined;
    newestOffset = offset;
    countDueMs = undefined;
    ageDueMs = ctx.nowMs + (first ? intervalMs / 2 : intervalMs);
  }

  function advance(ctx: RouterContext): void {
    ageDueMs ??= ctx.nowMs + intervalMs / 2;
    if (fold.next() - newestOffset > MAX_RECORDS_BETWEEN)
      countDueMs ??= ctx.nowMs;
    const dueMs = Math.min(ageDueMs, countDueMs ?? Infinity);
    if (ctx.nowMs < Math.max(dueMs, checkAtMs)) return;
    checkAtMs = ctx.nowMs + CHECK_INTERVAL_MS;
    if (ctx.nowMs < dueMs + rankDelayMs()) return;
    checkAtMs = ctx.nowMs + Math.min(RETRY_INTERVAL_MS, intervalMs / 4);
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
    // An unknown or failed append is retried after the pause.
    if (event.result === 'appended') snapshotRead(ctx, event.offset);
  }

  return {snapshotRead, appendSettled, advance};
}
