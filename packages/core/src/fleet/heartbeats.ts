import type {GatewayContext} from '../gateway/gateway_context.js';
import {usesRelays} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {FleetRelay} from './fleet_relay.js';
import type {GatewayMember} from './gateway_member.js';
import type {MemberRecord} from './member_record.js';
import type {GatewayState} from './messages/gateway_state.js';
import type {RelayLink} from './relay_link.js';
import type {WorkIndex} from './work_index.js';
import {toWorkNotice} from './work_notices.js';

/** Pause between two heartbeats. */
const HEARTBEAT_INTERVAL_MS = 1_000;
/** In a large fleet, one heartbeat in this many lists all work. */
const HEARTBEATS_PER_WORK_LIST = 4;
/** Pause between two attempts to contact dead members. */
const CONTACT_INTERVAL_MS = 2_000;
/**
 * In a large fleet, a member without a heartbeat for this long is contacted
 * directly.
 */
const OVERDUE_MS = 1_700;
const OVERDUE_CHECK_INTERVAL_MS = 500;

/**
 * Sends periodic heartbeats to the other gateways: directly in a small fleet,
 * through a relay in a large one.
 */
export interface Heartbeats {
  expire(ctx: GatewayContext): void;
  /** Sends a heartbeat that requests one in return. */
  requestReplies(ctx: GatewayContext, to: readonly string[]): void;
  reply(ctx: GatewayContext, to: string): void;
}

/** Dependencies of the heartbeats. */
export interface HeartbeatParts {
  self: MemberRecord;
  members: FleetMembers;
  workIndex: WorkIndex;
  link: RelayLink;
  relay: FleetRelay;
  storeReachable(): boolean;
  draining(): boolean;
}

interface HeartbeatOptions {
  withWork?: boolean;
  wantsReply?: boolean;
  passOn?: boolean;
}

/** Creates the heartbeats of a gateway that has sent none. */
export function createHeartbeats(parts: HeartbeatParts): Heartbeats {
  const {self, members, workIndex, link, relay} = parts;
  // Spreads the work lists of different gateways over time.
  let heartbeatCount = self.incarnation % HEARTBEATS_PER_WORK_LIST;
  let lastHeartbeatMs = Number.NEGATIVE_INFINITY;
  let lastContactMs = Number.NEGATIVE_INFINITY;
  let lastOverdueCheckMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    // Messages to a relay that confirms nothing may be lost.
    if (link.expire(nowMs)) requestReplies(ctx, members.aliveAddresses(nowMs));
    if (nowMs - lastHeartbeatMs >= HEARTBEAT_INTERVAL_MS) {
      lastHeartbeatMs = nowMs;
      heartbeatCount += 1;
      sendHeartbeat(ctx);
    }
    if (nowMs - lastContactMs >= CONTACT_INTERVAL_MS) {
      lastContactMs = nowMs;
      const alive = new Set(members.aliveAddresses(nowMs));
      const all = addresses([...members.all()]);
      requestReplies(
        ctx,
        all.filter(address => !alive.has(address)),
      );
    }
    if (nowMs - lastOverdueCheckMs >= OVERDUE_CHECK_INTERVAL_MS) {
      lastOverdueCheckMs = nowMs;
      contactOverdue(ctx);
    }
  }

  function sendHeartbeat(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const alive = members.alive(nowMs);
    if (!usesRelays(alive)) return send(ctx, addresses(alive), {});
    const relayAddress = link.relay(nowMs);
    // Others send heartbeats to their relays only, so each must be asked.
    if (relayAddress === undefined)
      return requestReplies(ctx, addresses(alive));
    const withWork = heartbeatCount % HEARTBEATS_PER_WORK_LIST === 0;
    if (relayAddress === self.address) {
      const {address: member, incarnation} = self;
      relay.addLocalHeartbeat({member, incarnation, ...state(nowMs, withWork)});
      return;
    }
    link.sent(nowMs);
    send(ctx, [relayAddress], {withWork, passOn: true});
  }

  /** Relays may be partitioned from each other where their members are not. */
  function contactOverdue(ctx: GatewayContext): void {
    const alive = members.alive(ctx.nowMs);
    if (!usesRelays(alive)) return;
    const overdue = alive.filter(
      ({lastHeardMs}) => ctx.nowMs - (lastHeardMs ?? ctx.nowMs) >= OVERDUE_MS,
    );
    requestReplies(ctx, addresses(overdue));
  }

  function state(nowMs: number, withWork: boolean): GatewayState {
    const work = withWork ? [...workIndex.ofMember(self.address)] : [];
    return {
      failureDomain: self.failureDomain,
      storeReachable: parts.storeReachable(),
      draining: parts.draining(),
      withoutWork: !withWork,
      work: work.map(item => toWorkNotice(item, nowMs)),
    };
  }

  function requestReplies(ctx: GatewayContext, to: readonly string[]): void {
    send(ctx, to, {wantsReply: true});
  }

  function send(
    ctx: GatewayContext,
    to: readonly string[],
    {withWork = true, wantsReply = false, passOn = false}: HeartbeatOptions,
  ): void {
    if (to.length === 0) return;
    ctx.emit({
      kind: 'send_peers',
      to,
      message: {
        kind: 'beat',
        ...state(ctx.nowMs, withWork),
        wantsReply,
        passOn,
      },
    });
  }

  return {
    expire,
    requestReplies,
    reply: (ctx, to) => send(ctx, [to], {}),
  };
}

function addresses(members: readonly GatewayMember[]): string[] {
  return members.map(({address}) => address);
}
