import type {AliveMembers} from '../membership/alive_members.js';
import type {LogRead} from '../router/events/log_read.js';
import type {LogReadFailed} from '../router/events/log_read_failed.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {LogState} from './log_state.js';
import {createPeerPoll} from './peer_poll.js';
import {createSnapshotSchedule} from './snapshot_schedule.js';
import {stalenessReason} from './staleness_reason.js';
import type {TableFold} from './table_fold.js';
import {createTableRelay} from './table_relay.js';
import {createTableStore} from './table_store.js';

/** Time for the log to answer before a new router queries its peers. */
const FIRST_READ_TIMEOUT_MS = 500;
/** Pause before the follower is moved to the same offset again. */
const REREAD_INTERVAL_MS = 1_000;

/** A router's table: follows the log and peers and reports changes. */
export interface TableFeature extends RouterFeature {
  readonly fold: TableFold;
  /** Whether the table is complete enough to serve from. */
  loaded(): boolean;
  /** Why the table may be outdated; empty if it is current. */
  stalenessReason(nowMs: number): string;
}

/** Called after one or more records were applied. */
export type TableListener = (ctx: RouterContext) => void;

/** What the table needs from its router. */
export interface TableFeatureParts {
  members: AliveMembers;
  /** The log's retention period in milliseconds. */
  retentionMs: number;
  onChange: TableListener;
}

/** Creates a table that is not loaded yet. */
export function createTableFeature(parts: TableFeatureParts): TableFeature {
  const {members, retentionMs, onChange} = parts;
  const store = createTableStore();
  const {fold} = store;
  const relay = createTableRelay(members, store);
  const poll = createPeerPoll(members, relay);
  const snapshots = createSnapshotSchedule(members, fold, retentionMs);
  let loaded = false;
  let logState: LogState = 'unread';
  let startedMs = 0;
  let announcedNext = 0;
  let lastReread = {from: -1, atMs: 0};

  function start(ctx: RouterContext): void {
    startedMs = ctx.nowMs;
    ctx.emit({kind: 'tail', stream: 'table', from: 0});
  }

  function logRead(ctx: RouterContext, event: LogRead): void {
    if (event.stream !== 'table') return;
    const result = store.applyRead(event);
    for (const {offset, error} of result.ignored) {
      ctx.emit({
        kind: 'write_log',
        event: 'WL2003',
        fields: {stream: 'table', offset, error},
      });
    }
    if (result.snapshotOffset !== undefined) {
      snapshots.snapshotRead(ctx, result.snapshotOffset);
    }
    if (result.position === 'reread') moveTail(ctx);
    setLogState(ctx, result.position, event.earliest);
  }

  function logReadFailed(ctx: RouterContext, event: LogReadFailed): void {
    if (event.stream === 'table') setLogState(ctx, 'failed');
  }

  function setLogState(
    ctx: RouterContext,
    state: LogState,
    earliest = -1,
  ): void {
    const before = logState;
    logState = state;
    if (state === before) return;
    const fields = {stream: 'table', next: fold.next(), earliest};
    if (state === 'failed') {
      ctx.emit({kind: 'write_log', event: 'WL2002', fields});
    }
    if (state === 'trimmed') {
      ctx.emit({kind: 'write_log', event: 'WL2005', fields});
    }
  }

  function moveTail(ctx: RouterContext): void {
    const from = fold.next();
    if (
      lastReread.from === from &&
      ctx.nowMs < lastReread.atMs + REREAD_INTERVAL_MS
    )
      return;
    lastReread = {from, atMs: ctx.nowMs};
    ctx.emit({kind: 'tail', stream: 'table', from});
  }

  function expire(ctx: RouterContext): void {
    relay.expire(ctx, logState === 'newest');
    if (!loaded && isLogUnusable(ctx)) poll.advance(ctx);
    if (loaded && logState === 'newest') snapshots.advance(ctx);
  }

  function isLogUnusable(ctx: RouterContext): boolean {
    if (logState === 'unread')
      return ctx.nowMs >= startedMs + FIRST_READ_TIMEOUT_MS;
    return logState === 'failed' || logState === 'trimmed';
  }

  function settle(ctx: RouterContext): void {
    if (!loaded) loaded = fold.rows().length > 0 && isUpToDate(ctx);
    if (fold.next() === announcedNext) return;
    announcedNext = fold.next();
    // A peer has filled the gap, so the follower can continue there.
    if (logState === 'trimmed') moveTail(ctx);
    tableChanged(ctx);
  }

  /** Whether neither the log nor a reachable peer is known to be ahead. */
  function isUpToDate(ctx: RouterContext): boolean {
    if (relay.offsets.newerPeer(fold.next(), ctx.nowMs) !== undefined)
      return false;
    return logState === 'newest' || (isLogUnusable(ctx) && poll.complete(ctx));
  }

  function tableChanged(ctx: RouterContext): void {
    const next = fold.next();
    ctx.emit({kind: 'write_log', event: 'WL2001', fields: {next}});
    ctx.emit({
      kind: 'observe',
      metric: 'table_offset',
      labels: {},
      value: next,
    });
    relay.announce(ctx);
    onChange(ctx);
  }

  return {
    fold,
    loaded: () => loaded,
    stalenessReason: nowMs =>
      stalenessReason(
        logState,
        relay.offsets.newerPeer(fold.next(), nowMs) !== undefined,
      ),
    start,
    handlers: {
      log_read: logRead,
      log_read_failed: logReadFailed,
      append_settled: snapshots.appendSettled,
      peer_received: relay.received,
    },
    expire,
    settle,
  };
}
