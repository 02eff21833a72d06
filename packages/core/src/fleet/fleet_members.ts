import type {MessageWay} from './message_way.js';
import type {GatewayState} from './messages/gateway_state.js';
import type {GatewayMember} from './gateway_member.js';
import type {MemberRecord} from './member_record.js';

/** A member that was silent for longer counts as dead. */
const DEAD_AFTER_MS = 2_600;
/** A dead member is contacted for this long, in case it comes back. */
const FORGET_AFTER_MS = 60_000;

/** The other gateways of the fleet. */
export interface FleetMembers {
  /** Notes an address that may be a gateway's. */
  know(nowMs: number, record: MemberRecord): void;
  /** Notes a sign of life; false if it comes from an earlier start. */
  heard(
    nowMs: number,
    address: string,
    incarnation: number,
    way: MessageWay,
  ): boolean;
  /** Notes what a gateway tells of itself. */
  told(address: string, state: GatewayState): void;
  get(address: string): GatewayMember | undefined;
  all(): Iterable<GatewayMember>;
  alive(nowMs: number): GatewayMember[];
  /** Peer addresses of those that are alive. */
  addresses(nowMs: number): string[];
  /** Gateways that are alive, this one included. */
  size(nowMs: number): number;
  /**
   * Gateways that may be alive, this one included: also those that are silent
   * and not forgotten.
   */
  known(): number;
  /** Forgets members that were silent for long; returns their addresses. */
  prune(nowMs: number): string[];
}

/** Creates the members of a fleet of one. */
export function createFleetMembers(self: string): FleetMembers {
  const members = new Map<string, GatewayMember>();

  function know(nowMs: number, record: MemberRecord): void {
    if (record.address === self || members.has(record.address)) return;
    members.set(record.address, {
      address: record.address,
      failureDomain: record.failureDomain,
      incarnation: 0,
      heardMs: undefined,
      knownMs: nowMs,
      storeReachable: false,
      draining: false,
    });
  }

  function heard(
    nowMs: number,
    address: string,
    incarnation: number,
    way: MessageWay,
  ): boolean {
    know(nowMs, {address, failureDomain: '', incarnation: 0});
    const member = members.get(address);
    if (!member) return false;
    // A member whose clock was set back starts with a smaller incarnation. A
    // relay may have held its message back, so only its own word counts.
    const silent = nowMs - (member.heardMs ?? nowMs) >= DEAD_AFTER_MS;
    const restarted = silent && way === 'direct';
    if (incarnation < member.incarnation && !restarted) return false;
    member.incarnation = incarnation;
    member.heardMs = nowMs;
    return true;
  }

  function told(address: string, state: GatewayState): void {
    const member = members.get(address);
    if (!member) return;
    member.failureDomain = state.failureDomain;
    member.storeReachable = state.storeReachable;
    member.draining = state.draining;
  }

  function alive(nowMs: number): GatewayMember[] {
    return [...members.values()].filter(
      ({heardMs}) => heardMs !== undefined && nowMs - heardMs < DEAD_AFTER_MS,
    );
  }

  function prune(nowMs: number): string[] {
    const forgotten = [...members.values()].filter(
      ({heardMs, knownMs}) => nowMs - (heardMs ?? knownMs) >= FORGET_AFTER_MS,
    );
    for (const {address} of forgotten) members.delete(address);
    return forgotten.map(({address}) => address);
  }

  return {
    know,
    heard,
    told,
    get: address => members.get(address),
    all: () => members.values(),
    alive,
    addresses: nowMs => alive(nowMs).map(({address}) => address),
    size: nowMs => alive(nowMs).length + 1,
    known: () => members.size + 1,
    prune,
  };
}
