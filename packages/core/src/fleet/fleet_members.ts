import {createAliveMembers} from './alive_members.js';
import type {MessagePath} from './message_path.js';
import type {GatewayState} from './messages/gateway_state.js';
import type {GatewayMember} from './gateway_member.js';
import type {MemberRecord} from './member_record.js';

/** A member without a heartbeat for this long counts as dead. */
const DEAD_AFTER_MS = 2_600;
/** A dead member is contacted for this long in case it returns. */
const FORGET_AFTER_MS = 60_000;

/** The other gateways of the fleet. */
export interface FleetMembers {
  /** Adds an address that may belong to a gateway. */
  add(nowMs: number, record: MemberRecord): void;
  /** Records a heartbeat; false if it comes from an earlier incarnation. */
  recordHeartbeat(
    nowMs: number,
    address: string,
    incarnation: number,
    path: MessagePath,
  ): boolean;
  /** Records the state that a gateway reports of itself. */
  updateState(address: string, state: GatewayState): void;
  get(address: string): GatewayMember | undefined;
  all(): Iterable<GatewayMember>;
  /** The list is shared between callers until it changes. */
  alive(nowMs: number): readonly GatewayMember[];
  /** Peer addresses of the members that are alive. */
  aliveAddresses(nowMs: number): readonly string[];
  /** Gateways that are alive, this one included. */
  aliveCount(nowMs: number): number;
  /**
   * Gateways that may be alive, this one included: also dead members that
   * are not pruned yet.
   */
  knownCount(): number;
  /** Removes members that have been dead for long; returns their addresses. */
  prune(nowMs: number): string[];
}

/** Creates a member list that holds no other gateway. */
export function createFleetMembers(self: string): FleetMembers {
  const members = new Map<string, GatewayMember>();
  const aliveMembers = createAliveMembers(members, DEAD_AFTER_MS);

  function add(nowMs: number, record: MemberRecord): void {
    if (record.address === self || members.has(record.address)) return;
    members.set(record.address, {
      address: record.address,
      failureDomain: record.failureDomain,
      incarnation: 0,
      lastHeardMs: undefined,
      discoveredMs: nowMs,
      storeReachable: false,
      draining: false,
    });
  }

  function recordHeartbeat(
    nowMs: number,
    address: string,
    incarnation: number,
    path: MessagePath,
  ): boolean {
    add(nowMs, {address, failureDomain: '', incarnation: 0});
    const member = members.get(address);
    if (!member) return false;
    // A member whose clock was set back restarts with a smaller incarnation.
    // A relay may deliver messages of the earlier start late, so only a direct
    // message proves the restart.
    const timedOut = nowMs - (member.lastHeardMs ?? nowMs) >= DEAD_AFTER_MS;
    const restarted = timedOut && path === 'direct';
    if (incarnation < member.incarnation && !restarted) return false;
    member.incarnation = incarnation;
    aliveMembers.heard(member, nowMs);
    return true;
  }

  function updateState(address: string, state: GatewayState): void {
    const member = members.get(address);
    if (!member) return;
    member.failureDomain = state.failureDomain;
    member.storeReachable = state.storeReachable;
    member.draining = state.draining;
  }

  function prune(nowMs: number): string[] {
    const removed = [...members.values()].filter(
      ({lastHeardMs, discoveredMs}) =>
        nowMs - (lastHeardMs ?? discoveredMs) >= FORGET_AFTER_MS,
    );
    for (const {address} of removed) members.delete(address);
    return removed.map(({address}) => address);
  }

  return {
    add,
    recordHeartbeat,
    updateState,
    get: address => members.get(address),
    all: () => members.values(),
    alive: aliveMembers.list,
    aliveAddresses: aliveMembers.addresses,
    aliveCount: nowMs => aliveMembers.list(nowMs).length + 1,
    knownCount: () => members.size + 1,
    prune,
  };
}
