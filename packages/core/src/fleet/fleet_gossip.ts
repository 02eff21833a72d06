import type {MembersRead} from '../gateway/events/members_read.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {StoreFailed} from '../gateway/events/store_failed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {usesRelays} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import {logSilent} from './log_silent.js';
import type {MemberRecord} from './member_record.js';
import type {Beat} from './messages/beat.js';
import type {Work} from './work.js';
import type {WorkBoard} from './work_board.js';
import {createWorkNews} from './work_news.js';
import {noticeOf, workOf} from './work_notices.js';

/** Pause between two beats. */
const BEAT_INTERVAL_MS = 1_000;
/** In a large fleet, so many beats come to one that holds all work. */
const BEATS_TO_WORK = 4;
/** Pause between two attempts to reach a member that is silent. */
const CONTACT_INTERVAL_MS = 2_000;
const ANNOUNCE_RETRY_MS = 1_000;

/** Tells other gateways that this one lives and what it has in flight. */
export interface FleetGossip extends GatewayFeature {
  started(work: Work): void;
  writing(work: number): void;
  ended(work: number): void;
}

/** What the gossip works on. */
export interface FleetGossipParts {
  self: MemberRecord;
  /** Peer addresses to contact first. */
  seeds: string[];
  members: FleetMembers;
  board: WorkBoard;
  storeReachable(): boolean;
  draining(): boolean;
}

/** Creates the gossip of a gateway that has just started. */
export function createFleetGossip(parts: FleetGossipParts): FleetGossip {
  const {self, members, board} = parts;
  // Gateways send their work at different times.
  let beats = self.incarnation % BEATS_TO_WORK;
  let beatMs = Number.NEGATIVE_INFINITY;
  let contactMs = Number.NEGATIVE_INFINITY;
  let announceMs = Number.NEGATIVE_INFINITY;
  const living = new Set<string>();
  let introduced: 'no' | 'announced' | 'yes' = 'no';
  const news = createWorkNews(parts);

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    if (news.expire(ctx)) {
      sendBeat(ctx, members.addresses(nowMs), {withoutWork: false});
    }
    if (introduced !== 'yes' && nowMs - announceMs >= ANNOUNCE_RETRY_MS) {
      introduce(ctx);
    }
    if (nowMs - beatMs >= BEAT_INTERVAL_MS) {
      beatMs = nowMs;
      forgetDead(ctx);
      beats += 1;
      const alive = members.alive(nowMs);
      const withoutWork = usesRelays(alive) && beats % BEATS_TO_WORK !== 0;
      sendBeat(ctx, addresses(alive), {withoutWork});
    }
    if (nowMs - contactMs >= CONTACT_INTERVAL_MS) {
      contactMs = nowMs;
      const alive = new Set(members.addresses(nowMs));
      const silent = addresses([...members.all()]).filter(a => !alive.has(a));
      sendBeat(ctx, silent, {wantsReply: true});
    }
  }

  /** Announces this gateway, then asks who else has done so. */
  function introduce(ctx: GatewayContext): void {
    announceMs = ctx.nowMs;
    if (introduced === 'no') ctx.emit({kind: 'announce_member', record: self});
    else {
      ctx.emit({kind: 'read_store', call: 'members', fromOffset: undefined});
    }
  }

  function forgetDead(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const alive = new Set(members.addresses(nowMs));
    for (const {address, heardMs} of members.all()) {
      if (alive.has(address)) living.add(address);
      else {
        board.replace(address, []);
        if (living.delete(address)) logSilent(ctx, address, heardMs);
      }
    }
    members.prune(nowMs);
  }

  function membersRead(ctx: GatewayContext, event: MembersRead): void {
    introduced = 'yes';
    const known = new Set(addresses([...members.all()]));
    for (const record of event.members) members.know(ctx.nowMs, record);
    const added = addresses([...members.all()]).filter(a => !known.has(a));
    sendBeat(ctx, added, {wantsReply: true});
  }

  function received(ctx: GatewayContext, event: PeerReceived): void {
    const {from, incarnation, message} = event;
    if (from === self.address) return;
    const before = members.get(from);
    if (before && incarnation > before.incarnation) board.replace(from, []);
    const firstSign = before?.heardMs === undefined;
    if (!members.heard(ctx.nowMs, from, incarnation)) return;
    if (firstSign) {
      const fields = {member: from, incarnation};
      ctx.emit({kind: 'write_log', event: 'WL8101', fields});
    }
    if (message.kind === 'beat') beatReceived(ctx, from, message);
    if (message.kind === 'work_update') {
      news.updateReceived(ctx, from, message);
    }
    if (message.kind === 'work_digest') {
      news.digestReceived(ctx, message);
    }
  }

  function beatReceived(ctx: GatewayContext, from: string, beat: Beat): void {
    members.beat(from, beat);
    const {nowMs} = ctx;
    if (!beat.withoutWork) {
      board.replace(
        from,
        beat.work.map(notice => workOf(notice, from, nowMs)),
      );
    }
    if (beat.wantsReply) sendBeat(ctx, [from]);
  }

  function sendBeat(
    ctx: GatewayContext,
    to: string[],
    {wantsReply = false, withoutWork = false}: Partial<Beat> = {},
  ): void {
    if (to.length === 0) return;
    const work = withoutWork ? [] : [...board.ofMember(self.address)];
    ctx.emit({
      kind: 'send_peers',
      to,
      message: {
        kind: 'beat',
        failureDomain: self.failureDomain,
        storeReachable: parts.storeReachable(),
        draining: parts.draining(),
        wantsReply,
        withoutWork,
        work: work.map(item => noticeOf(item, ctx.nowMs)),
      },
    });
  }

  function failed(_ctx: GatewayContext, event: StoreFailed): void {
    // A failed call of either kind is repeated by `expire`.
    if (event.call === 'members') introduced = 'announced';
  }

  return {
    handlers: {
      member_announced: ctx => {
        introduced = 'announced';
        introduce(ctx);
      },
      members_read: membersRead,
      peer_received: received,
      store_failed: failed,
    },
    start: ctx => {
      for (const address of parts.seeds) {
        const record = {address, failureDomain: '', incarnation: 0};
        members.know(ctx.nowMs, record);
      }
    },
    expire,
    settle: ctx => news.settle(ctx),
    started: work => news.started(work),
    writing: work => news.writing(work),
    ended: work => news.ended(work),
  };
}

function addresses(members: {address: string}[]): string[] {
  return members.map(({address}) => address);
}
