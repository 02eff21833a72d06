import type {GatewayContext} from '../gateway/gateway_context.js';
import {chooseRelay} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {MemberChanges} from './messages/member_changes.js';

/** Pause between two digests. */
const DIGEST_INTERVAL_MS = 40;
/** Changes of members in one datagram, about 2 KB. */
const CHANGES_PER_DIGEST = 20;

/**
 * Passes on changes of work, gathered for a while: to the gateways of the own
 * failure domain, and once to the relay of each other one, since traffic
 * between them costs.
 */
export interface WorkRelay {
  /** Takes changes of a gateway of the own failure domain. */
  addOwn(changes: MemberChanges): void;
  /** Takes changes that another failure domain's relay has sent. */
  addForeign(changes: MemberChanges[]): void;
  expire(ctx: GatewayContext): void;
}

/** Creates a relay that has nothing to pass on. */
export function createWorkRelay(
  failureDomain: string,
  members: FleetMembers,
): WorkRelay {
  let own: MemberChanges[] = [];
  let foreign: MemberChanges[] = [];
  let sentMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    if (own.length + foreign.length === 0) return;
    if (nowMs - sentMs < DIGEST_INTERVAL_MS) return;
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
    send(ctx, near, [...own, ...foreign], false);
    send(ctx, far, own, true);
    own = [];
    foreign = [];
  }

  function send(
    ctx: GatewayContext,
    to: string[],
    changes: MemberChanges[],
    passOn: boolean,
  ): void {
    if (to.length === 0) return;
    for (let i = 0; i < changes.length; i += CHANGES_PER_DIGEST) {
      const some = changes.slice(i, i + CHANGES_PER_DIGEST);
      const message = {kind: 'work_digest', changes: some, passOn} as const;
      ctx.emit({kind: 'send_peers', to, message});
    }
  }

  return {
    addOwn: changes => void own.push(changes),
    addForeign: changes => void foreign.push(...changes),
    expire,
  };
}
