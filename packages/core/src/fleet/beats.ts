import type {GatewayContext} from '../gateway/gateway_context.js';
import {usesRelays} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {FleetRelay} from './fleet_relay.js';
import type {GatewayMember} from './gateway_member.js';
import type {MemberRecord} from './member_record.js';
import type {GatewayState} from './messages/gateway_state.js';
import type {RelayLink} from './relay_link.js';
import type {WorkBoard} from './work_board.js';
import {noticeOf} from './work_notices.js';

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
export interface Beats {
  expire(ctx: GatewayContext): void;
  /** Sends a beat to gateways that are asked to answer. */
  greet(ctx: GatewayContext, to: string[]): void;
  reply(ctx: GatewayContext, to: string): void;
}

/** What the beats work on. */
export interface BeatParts {
  self: MemberRecord;
  members: FleetMembers;
  board: WorkBoard;
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
export function createBeats(parts: BeatParts): Beats {
  const {self, members, board, link, relay} = parts;
  // Gateways send their work at different times.
  let beats = self.incarnation % BEATS_TO_WORK;
  let beatMs = Number.NEGATIVE_INFINITY;
  let contactMs = Number.NEGATIVE_INFINITY;
  let quietCheckMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    // What was sent to a relay that does not answer may be lost.
    if (link.expire(nowMs)) greet(ctx, members.addresses(nowMs));
    if (nowMs - beatMs >= BEAT_INTERVAL_MS) {
      beatMs = nowMs;
      beats += 1;
      beat(ctx);
    }
    if (nowMs - contactMs >= CONTACT_INTERVAL_MS) {
      contactMs = nowMs;
      const alive = new Set(members.addresses(nowMs));
      const all = addresses([...members.all()]);
      greet(
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
    if (via === undefined) return greet(ctx, addresses(alive));
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
      ({heardMs}) => ctx.nowMs - (heardMs ?? ctx.nowMs) >= QUIET_MS,
    );
    greet(ctx, addresses(quiet));
  }

  function state(nowMs: number, withWork: boolean): GatewayState {
    const work = withWork ? [...board.ofMember(self.address)] : [];
    return {
      failureDomain: self.failureDomain,
      storeReachable: parts.storeReachable(),
      draining: parts.draining(),
      withoutWork: !withWork,
      work: work.map(item => noticeOf(item, nowMs)),
    };
  }

  function greet(ctx: GatewayContext, to: string[]): void {
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
    greet,
    reply: (ctx, to) => send(ctx, [to], {}),
  };
}

function addresses(members: GatewayMember[]): string[] {
  return members.map(({address}) => address);
}
