import type {GatewayContext} from '../gateway/gateway_context.js';
import {chooseRelay} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {FleetDigest} from './messages/fleet_digest.js';
import type {MemberBeat} from './messages/member_beat.js';
import type {MemberChanges} from './messages/member_changes.js';

/** Pause between two digests. */
const DIGEST_INTERVAL_MS = 40;
/** Changes of members in one datagram, about 2 KB. */
const CHANGES_PER_DIGEST = 20;
/** Heartbeats in one datagram, about 2 KB if they hold work. */
const HEARTBEATS_PER_DIGEST = 8;

/**
 * Passes on heartbeats and changes of work in batches: to the gateways of its
 * own failure domain, and once to the relay of each other domain, since
 * traffic between domains is expensive.
 */
export interface FleetRelay {
  /** Queues changes of a gateway in the same failure domain. */
  addLocalChanges(changes: MemberChanges): void;
  /** Queues the heartbeat of a gateway in the same failure domain. */
  addLocalHeartbeat(heartbeat: MemberBeat): void;
  /** Queues the digest of another failure domain's relay. */
  addRemoteDigest(digest: FleetDigest): void;
  expire(ctx: GatewayContext): void;
  /** Whether nothing waits for the next digest. */
  isEmpty(): boolean;
}

interface DigestContent {
  changes: MemberChanges[];
  beats: MemberBeat[];
}

function emptyContent(): DigestContent {
  return {changes: [], beats: []};
}

/** Creates a relay with an empty queue. */
export function createFleetRelay(
  failureDomain: string,
  members: FleetMembers,
): FleetRelay {
  let local = emptyContent();
  let remote = emptyContent();
  let lastDigestMs = Number.NEGATIVE_INFINITY;

  function isEmpty(): boolean {
    return [local, remote].every(
      ({changes, beats}) => changes.length + beats.length === 0,
    );
  }

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    if (isEmpty() || nowMs - lastDigestMs < DIGEST_INTERVAL_MS) return;
    lastDigestMs = nowMs;
    const alive = members.alive(nowMs);
    const domains = new Set(alive.map(member => member.failureDomain));
    // A gateway whose domain is unknown is treated as in the same one.
    const sameDomain = alive
      .filter(member => ['', failureDomain].includes(member.failureDomain))
      .map(({address}) => address);
    const otherRelays = [...domains]
      .filter(domain => domain !== '' && domain !== failureDomain)
      .flatMap(domain => chooseRelay(domain, alive) ?? []);
    const all = {
      changes: [...local.changes, ...remote.changes],
      beats: [...local.beats, ...remote.beats],
    };
    send(ctx, sameDomain, all, false);
    send(ctx, otherRelays, local, true);
    local = emptyContent();
    remote = emptyContent();
  }

  function send(
    ctx: GatewayContext,
    to: readonly string[],
    {changes, beats}: DigestContent,
    passOn: boolean,
  ): void {
    if (to.length === 0) return;
    const remaining = {changes: [...changes], beats: [...beats]};
    while (remaining.changes.length + remaining.beats.length > 0) {
      const message: FleetDigest = {
        kind: 'fleet_digest',
        changes: remaining.changes.splice(0, CHANGES_PER_DIGEST),
        beats: remaining.beats.splice(0, HEARTBEATS_PER_DIGEST),
        passOn,
      };
      ctx.emit({kind: 'send_peers', to, message});
    }
  }

  return {
    addLocalChanges: changes => void local.changes.push(changes),
    addLocalHeartbeat: heartbeat => void local.beats.push(heartbeat),
    addRemoteDigest: ({changes, beats}) => {
      remote.changes.push(...changes);
      remote.beats.push(...beats);
    },
    expire,
    isEmpty,
  };
}
