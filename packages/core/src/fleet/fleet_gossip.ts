import type {MembersRead} from '../gateway/events/members_read.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {StoreFailed} from '../gateway/events/store_failed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import {createHeartbeats} from './heartbeats.js';
import type {FleetMembers} from './fleet_members.js';
import {createFleetRelay} from './fleet_relay.js';
import {createMemberDiscovery} from './member_discovery.js';
import {logDeadMember} from './log_dead_member.js';
import type {MemberRecord} from './member_record.js';
import type {MessagePath} from './message_path.js';
import type {FleetDigest} from './messages/fleet_digest.js';
import type {GatewayState} from './messages/gateway_state.js';
import {createRelayLink} from './relay_link.js';
import type {Work} from './work.js';
import type {WorkIndex} from './work_index.js';
import {createWorkGossip} from './work_gossip.js';
import {fromWorkNotice} from './work_notices.js';

/**
 * Pause between two checks for members that have died. With rare ticks, it
 * ends at most 40 ms late, as the next digest comes.
 */
const DEAD_CHECK_INTERVAL_MS = 480;

/**
 * Digests of a relay come every 40 ms; one that sends none for this long may
 * be lost.
 */
const PACED_MS = 100;

/** Sends heartbeats and work in flight to other gateways. */
export interface FleetGossip extends GatewayFeature {
  workStarted(work: Work): void;
  decodingStarted(work: number): void;
  workEnded(work: number): void;
  /** The store may have lost what gateways announced. */
  storeRestored(ctx: GatewayContext): void;
  /** Whether digests arrive regularly and no message waits for anything. */
  isPaced(nowMs: number): boolean;
}

/** Dependencies of the gossip. */
export interface FleetGossipParts {
  self: MemberRecord;
  /** Peer addresses to contact first. */
  seeds: string[];
  members: FleetMembers;
  workIndex: WorkIndex;
  storeReachable(): boolean;
  draining(): boolean;
}

/** Creates the gossip of a gateway that has just started. */
export function createFleetGossip(parts: FleetGossipParts): FleetGossip {
  const {self, members, workIndex} = parts;
  const link = createRelayLink(parts);
  const relay = createFleetRelay(self.failureDomain, members);
  const heartbeats = createHeartbeats({...parts, link, relay});
  const workGossip = createWorkGossip({...parts, link, relay});
  const discovery = createMemberDiscovery(self);
  const aliveBefore = new Set<string>();
  let lastDeadCheckMs = Number.NEGATIVE_INFINITY;
  let lastDigestMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    discovery.expire(ctx);
    if (ctx.nowMs - lastDeadCheckMs >= DEAD_CHECK_INTERVAL_MS) {
      lastDeadCheckMs = ctx.nowMs;
      removeDead(ctx);
    }
    heartbeats.expire(ctx);
    relay.expire(ctx);
  }

  function removeDead(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const alive = new Set(members.aliveAddresses(nowMs));
    for (const {address, lastHeardMs} of members.all()) {
      if (alive.has(address)) aliveBefore.add(address);
      else {
        workIndex.replace(address, []);
        if (aliveBefore.delete(address))
          logDeadMember(ctx, address, lastHeardMs);
      }
    }
    members.prune(nowMs);
  }

  function membersRead(ctx: GatewayContext, event: MembersRead): void {
    discovery.completed();
    const known = new Set([...members.all()].map(({address}) => address));
    for (const record of event.members) members.add(ctx.nowMs, record);
    const all = [...members.all()].map(({address}) => address);
    heartbeats.requestReplies(
      ctx,
      all.filter(address => !known.has(address)),
    );
  }

  /** Records a heartbeat; false if it comes from an earlier incarnation. */
  function recordHeartbeat(
    ctx: GatewayContext,
    member: string,
    incarnation: number,
    path: MessagePath,
  ): boolean {
    const before = members.get(member)?.incarnation ?? incarnation;
    const firstHeartbeat = members.get(member)?.lastHeardMs === undefined;
    if (!members.recordHeartbeat(ctx.nowMs, member, incarnation, path))
      return false;
    if (incarnation !== before) workIndex.replace(member, []);
    if (firstHeartbeat) {
      const fields = {member, incarnation};
      ctx.emit({kind: 'write_log', event: 'WL8101', fields});
    }
    return true;
  }

  function received(ctx: GatewayContext, event: PeerReceived): void {
    const {from, incarnation, message} = event;
    if (
      from === self.address ||
      !recordHeartbeat(ctx, from, incarnation, 'direct')
    )
      return;
    switch (message.kind) {
      case 'beat': {
        const {kind: _kind, wantsReply, passOn, ...state} = message;
        stateReceived(ctx, from, state);
        if (passOn)
          relay.addLocalHeartbeat({member: from, incarnation, ...state});
        if (wantsReply) heartbeats.reply(ctx, from);
        return;
      }
      case 'work_update':
        return workGossip.updateReceived(ctx, from, message);
      case 'fleet_digest':
        return digestReceived(ctx, message);
      default:
        return;
    }
  }

  function digestReceived(ctx: GatewayContext, digest: FleetDigest): void {
    lastDigestMs = ctx.nowMs;
    if (digest.passOn) relay.addRemoteDigest(digest);
    const mentioned = [...digest.changes, ...digest.beats];
    if (mentioned.some(({member}) => member === self.address)) link.confirmed();
    for (const {member, incarnation, ...state} of digest.beats) {
      if (
        member === self.address ||
        !recordHeartbeat(ctx, member, incarnation, 'relayed')
      )
        continue;
      stateReceived(ctx, member, state);
    }
    workGossip.digestReceived(ctx, digest);
  }

  function stateReceived(
    ctx: GatewayContext,
    member: string,
    state: GatewayState,
  ): void {
    members.updateState(member, state);
    if (state.withoutWork) return;
    const works = state.work.map(notice =>
      fromWorkNotice(notice, member, ctx.nowMs),
    );
    workIndex.replace(member, works);
  }

  function failed(_ctx: GatewayContext, event: StoreFailed): void {
    // `expire` also retries a failed announcement.
    if (event.call === 'members') discovery.readFailed();
  }

  return {
    handlers: {
      member_announced: discovery.announced,
      members_read: membersRead,
      peer_received: received,
      store_failed: failed,
    },
    start: ctx => {
      for (const address of parts.seeds) {
        const record = {address, failureDomain: '', incarnation: 0};
        members.add(ctx.nowMs, record);
      }
    },
    expire,
    settle: ctx => workGossip.settle(ctx),
    workStarted: work => workGossip.workStarted(work),
    decodingStarted: work => workGossip.decodingStarted(work),
    workEnded: work => workGossip.workEnded(work),
    storeRestored: discovery.storeRestored,
    isPaced: nowMs =>
      nowMs - lastDigestMs < PACED_MS &&
      relay.isEmpty() &&
      !link.awaitsConfirmation(),
  };
}
