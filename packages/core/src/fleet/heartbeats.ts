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

/** Pause between two beats. */
const BEAT_INTERVAL_MS = 1_000;
/** In a large fleet, so many beats come to one that holds all work. */
const BEATS_TO_WORK = 4;
/** Pause between two attempts to reach a member that is silent. */
const CONTACT_INTERVAL_MS = 2_000;
/** In a large fleet, a member that is silent for so long is asked directly. */
const QUIET_MS = 1_700;
const QUIET_CHECK_INTERVAL_MS = 500;

/**
 * Tells other gateways regularly that this one lives: each of them in a small
 * fleet, through a relay in a large one.
 */
export interface Heartbeats {
  expire(ctx: GatewayContext): void;
  /** Sends a beat to gateways that are asked to answer. */
  requestReplies(ctx: GatewayContext, to: string[]): void;
  reply(ctx: GatewayContext, to: string): void;
}

/** What the beats work on. */
export interface HeartbeatParts {
  self: MemberRecord;
  members: FleetMembers;
  workIndex: WorkIndex;
  link: RelayLink;
  relay: FleetRelay;
  storeReachable(): boolean;
  draining(): boolean;
}

interface BeatOptions {
  withWork?: boolean;
  wantsReply?: boolean;
  passOn?: boolean;
}

/** Creates the beats of a gateway that has sent none. */
export function createHeartbeats(parts: HeartbeatParts): Heartbeats {
  const {self, members, workIndex, link, relay} = parts;
  // Gateways send their work at different times.
  let beats = self.incarnation % BEATS_TO_WORK;
  let beatMs = Number.NEGATIVE_INFINITY;
  let contactMs = Number.NEGATIVE_INFINITY;
  let quietCheckMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    // What was sent to a relay that does not answer may be lost.
    if (link.expire(nowMs)) requestReplies(ctx, members.aliveAddresses(nowMs));
    if (nowMs - beatMs >= BEAT_INTERVAL_MS) {
      beatMs = nowMs;
      beats += 1;
      beat(ctx);
    }
    if (nowMs - contactMs >= CONTACT_INTERVAL_MS) {
      contactMs = nowMs;
      const alive = new Set(members.aliveAddresses(nowMs));
      const all = addresses([...members.all()]);
      requestReplies(
        ctx,
        all.filter(address => !alive.has(address)),
      );
    }
    if (nowMs - quietCheckMs >= QUIET_CHECK_INTERVAL_MS) {
      quietCheckMs = nowMs;
      askQuiet(ctx);
    }
  }

  function beat(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const alive = members.alive(nowMs);
    if (!usesRelays(alive)) return send(ctx, addresses(alive), {});
    const via = link.relay(nowMs);
    // Others beat to their relays only, so they have to be asked.
    if (via === undefined) return requestReplies(ctx, addresses(alive));
    const withWork = beats % BEATS_TO_WORK === 0;
    if (via === self.address) {
      const {address: member, incarnation} = self;
      relay.addOwnBeat({member, incarnation, ...state(nowMs, withWork)});
      return;
    }
    link.sent(nowMs);
    send(ctx, [via], {withWork, passOn: true});
  }

  /** Relays may not reach each other where their members do. */
  function askQuiet(ctx: GatewayContext): void {
    const alive = members.alive(ctx.nowMs);
    if (!usesRelays(alive)) return;
    const quiet = alive.filter(
      ({lastHeardMs}) => ctx.nowMs - (lastHeardMs ?? ctx.nowMs) >= QUIET_MS,
    );
    requestReplies(ctx, addresses(quiet));
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

  function requestReplies(ctx: GatewayContext, to: string[]): void {
    send(ctx, to, {wantsReply: true});
  }

  function send(
    ctx: GatewayContext,
    to: string[],
    {withWork = true, wantsReply = false, passOn = false}: BeatOptions,
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

function addresses(members: GatewayMember[]): string[] {
  return members.map(({address}) => address);
}
