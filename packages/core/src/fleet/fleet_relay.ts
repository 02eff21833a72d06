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
/** Beats in one datagram, about 2 KB if they hold work. */
const BEATS_PER_DIGEST = 8;

/**
 * Passes on beats and changes of work, gathered for a while: to the gateways
 * of the own failure domain, and once to the relay of each other one, since
 * traffic between them costs.
 */
export interface FleetRelay {
  /** Takes changes of a gateway of the own failure domain. */
  addOwn(changes: MemberChanges): void;
  /** Takes the beat of a gateway of the own failure domain. */
  addOwnBeat(beat: MemberBeat): void;
  /** Takes what another failure domain's relay has sent. */
  addForeign(digest: FleetDigest): void;
  expire(ctx: GatewayContext): void;
}

interface Gathered {
  changes: MemberChanges[];
  beats: MemberBeat[];
}

function nothing(): Gathered {
  return {changes: [], beats: []};
}

/** Creates a relay that has nothing to pass on. */
export function createFleetRelay(
  failureDomain: string,
  members: FleetMembers,
): FleetRelay {
  let own = nothing();
  let foreign = nothing();
  let sentMs = Number.NEGATIVE_INFINITY;

  function empty(): boolean {
    return [own, foreign].every(
      ({changes, beats}) => changes.length + beats.length === 0,
    );
  }

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    if (empty() || nowMs - sentMs < DIGEST_INTERVAL_MS) return;
    sentMs = nowMs;
    const alive = members.alive(nowMs);
    const domains = new Set(alive.map(member => member.failureDomain));
    // A gateway whose domain is not known yet is told like the near ones.
    const near = alive
      .filter(member => ['', failureDomain].includes(member.failureDomain))
      .map(({address}) => address);
    const far = [...domains]
      .filter(domain => domain !== '' && domain !== failureDomain)
      .flatMap(domain => chooseRelay(domain, alive) ?? []);
    const all = {
      changes: [...own.changes, ...foreign.changes],
      beats: [...own.beats, ...foreign.beats],
    };
    send(ctx, near, all, false);
    send(ctx, far, own, true);
    own = nothing();
    foreign = nothing();
  }

  function send(
    ctx: GatewayContext,
    to: string[],
    {changes, beats}: Gathered,
    passOn: boolean,
  ): void {
    if (to.length === 0) return;
    const rest = {changes: [...changes], beats: [...beats]};
    while (rest.changes.length + rest.beats.length > 0) {
      const message: FleetDigest = {
        kind: 'fleet_digest',
        changes: rest.changes.splice(0, CHANGES_PER_DIGEST),
        beats: rest.beats.splice(0, BEATS_PER_DIGEST),
        passOn,
      };
      ctx.emit({kind: 'send_peers', to, message});
    }
  }

  return {
    addOwn: changes => void own.changes.push(changes),
    addOwnBeat: beat => void own.beats.push(beat),
    addForeign: ({changes, beats}) => {
      foreign.changes.push(...changes);
      foreign.beats.push(...beats);
    },
    expire,
  };
}
