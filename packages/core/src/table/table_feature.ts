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

/** Time that the log has to answer before a new router asks its peers. */
const FIRST_READ_MS = 500;
/** Pause before a stream is moved again to the same offset. */
const REREAD_MS = 1_000;

/** The table of a router: follows log and peers and tells of changes. */
export interface TableFeature extends RouterFeature {
  readonly fold: TableFold;
  /** Whether the table is complete enough to serve from. */
  loaded(): boolean;
  /** Why the table may not be the newest; empty if it is. */
  stalenessReason(nowMs: number): string;
}

/** Called after one or more records were applied. */
export type TableListener = (ctx: RouterContext) => void;

/** What the table needs of its router. */
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
  let log: LogState = 'unread';
  let startedMs = 0;
  let announced = 0;
  let reread = {from: -1, atMs: 0};

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
      snapshots.seen(ctx, result.snapshotOffset);
    }
    if (result.position === 'reread') moveTail(ctx);
    setLog(ctx, result.position, event.earliest);
  }

  function logReadFailed(ctx: RouterContext, event: LogReadFailed): void {
    if (event.stream === 'table') setLog(ctx, 'failed');
  }

  function setLog(ctx: RouterContext, state: LogState, earliest = -1): void {
    const before = log;
    log = state;
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
    if (reread.from === from && ctx.nowMs < reread.atMs + REREAD_MS) return;
    reread = {from, atMs: ctx.nowMs};
    ctx.emit({kind: 'tail', stream: 'table', from});
  }

  function expire(ctx: RouterContext): void {
    relay.expire(ctx, log === 'newest');
    if (!loaded && logIsNoHelp(ctx)) poll.advance(ctx);
    if (loaded && log === 'newest') snapshots.advance(ctx);
  }

  function logIsNoHelp(ctx: RouterContext): boolean {
    if (log === 'unread') return ctx.nowMs >= startedMs + FIRST_READ_MS;
    return log === 'failed' || log === 'trimmed';
  }

  function settle(ctx: RouterContext): void {
    if (!loaded) loaded = fold.rows().length > 0 && isNewestKnown(ctx);
    if (fold.next() === announced) return;
    announced = fold.next();
    // A peer has filled the gap, so the follower can go on from there.
    if (log === 'trimmed') moveTail(ctx);
    changed(ctx);
  }

  /** Whether neither the log nor a peer in reach is known to be ahead. */
  function isNewestKnown(ctx: RouterContext): boolean {
    if (relay.offsets.newerPeer(fold.next(), ctx.nowMs) !== undefined)
      return false;
    return log === 'newest' || (logIsNoHelp(ctx) && poll.complete(ctx));
  }

  function changed(ctx: RouterContext): void {
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
        log,
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
