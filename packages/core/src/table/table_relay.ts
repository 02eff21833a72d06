import type {AliveMembers} from '../membership/alive_members.js';
import type {PeerReceived} from '../router/events/peer_received.js';
import type {PeerMessage} from '../router/messages/peer_message.js';
import type {RouterContext} from '../router/router_context.js';
import {createPeerOffsets, type PeerOffsets} from './peer_offsets.js';
import {createPeerRotation} from './peer_rotation.js';
import type {TableStore} from './table_store.js';

/** Bounds how long a peer that missed an announcement stays behind. */
const GOSSIP_INTERVAL_MS = 250;
const GOSSIP_PEERS = 2;
/** Saves traffic while the log itself delivers changes. */
const SLOW_GOSSIP_INTERVAL_MS = 500;
const SLOW_GOSSIP_PEERS = 1;
/** Peers notified of a change at once; each forwards it in the same way. */
const ANNOUNCE_PEERS = 3;
/** Pause between pulls, so that several offsets cause one transfer. */
const PULL_INTERVAL_MS = 150;

/** Exchanges table records and snapshots between routers. */
export interface TableRelay {
  readonly offsets: PeerOffsets;
  received(ctx: RouterContext, event: PeerReceived): void;
  /** Notifies some peers at once that the table has advanced. */
  announce(ctx: RouterContext): void;
  /** Queries the offsets of peers. */
  requestOffsets(ctx: RouterContext, peers: string[], queryId: number): void;
  /** Whether a peer has answered a query. */
  hasAnswered(peer: string, queryId: number): boolean;
  /** Gossips, less often if the log delivers, and retries pulls. */
  expire(ctx: RouterContext, logDelivers: boolean): void;
}

/** Creates the relay of a router. */
export function createTableRelay(
  members: AliveMembers,
  store: TableStore,
): TableRelay {
  const offsets = createPeerOffsets();
  /** Id of the latest query that each peer has answered. */
  const answers = new Map<string, number>();
  const rotation = createPeerRotation();
  let lastGossipMs = -Infinity;
  let nextPullMs = 0;

  function received(ctx: RouterContext, event: PeerReceived): void {
    const {from, message} = event;
    if (message.kind === 'table_offset') {
      offsets.record(from, message.next, ctx.nowMs);
      const next = store.fold.next();
      if (message.next > next) pullIfDue(ctx, from);
      if (message.answers !== 0) answers.set(from, message.answers);
      if (message.ask !== 0) sendOffset(ctx, from, 0, message.ask);
      else if (message.next < next) sendOffset(ctx, from);
    }
    if (message.kind === 'table_pull') {
      offsets.record(from, message.next, ctx.nowMs);
      if (message.next >= store.fold.next()) return;
      send(ctx, from, store.missingFrom(message.next));
    }
    if (message.kind === 'table_records') store.applyRecords(message);
    if (message.kind === 'table_state') store.applyState(message);
  }

  function pullIfDue(ctx: RouterContext, from: string): void {
    if (ctx.nowMs < nextPullMs) return;
    nextPullMs = ctx.nowMs + PULL_INTERVAL_MS;
    send(ctx, from, {kind: 'table_pull', next: store.fold.next()});
  }

  function sendOffset(
    ctx: RouterContext,
    to: string,
    ask: number = 0,
    answers: number = 0,
  ): void {
    const next = store.fold.next();
    send(ctx, to, {kind: 'table_offset', next, ask, answers});
  }

  function sendOffsetToSome(ctx: RouterContext, count: number): void {
    const peers = members.alive().filter(peer => peer !== members.self);
    for (const peer of rotation.take(peers, count, ctx.random))
      sendOffset(ctx, peer);
  }

  function expire(ctx: RouterContext, logDelivers: boolean): void {
    const intervalMs = logDelivers
      ? SLOW_GOSSIP_INTERVAL_MS
      : GOSSIP_INTERVAL_MS;
    if (ctx.nowMs < lastGossipMs + intervalMs) return;
    lastGossipMs = ctx.nowMs;
    sendOffsetToSome(ctx, logDelivers ? SLOW_GOSSIP_PEERS : GOSSIP_PEERS);
    const newerPeer = offsets.newerPeer(store.fold.next(), ctx.nowMs);
    if (newerPeer !== undefined) pullIfDue(ctx, newerPeer);
  }

  return {
    offsets,
    received,
    announce: ctx => sendOffsetToSome(ctx, ANNOUNCE_PEERS),
    requestOffsets: (ctx, peers, queryId) =>
      peers.forEach(peer => sendOffset(ctx, peer, queryId)),
    hasAnswered: (peer, queryId) => answers.get(peer) === queryId,
    expire,
  };
}

function send(ctx: RouterContext, to: string, message: PeerMessage): void {
  ctx.emit({kind: 'send_peer', to, message});
}
