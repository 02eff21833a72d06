import type {GatewayContext} from '../gateway/gateway_context.js';
import type {FleetMembers} from './fleet_members.js';
import type {MemberChanges} from './messages/member_changes.js';

/** Pause between two digests. */
const DIGEST_INTERVAL_MS = 40;
/** Changes of members in one datagram, about 2 KB. */
const CHANGES_PER_DIGEST = 20;

/** Passes on changes of work for other gateways, gathered for a while. */
export interface WorkRelay {
  add(changes: MemberChanges): void;
  expire(ctx: GatewayContext): void;
}

/** Creates a relay that has nothing to pass on. */
export function createWorkRelay(members: FleetMembers): WorkRelay {
  let gathered: MemberChanges[] = [];
  let sentMs = Number.NEGATIVE_INFINITY;

  return {
    add: changes => void gathered.push(changes),
    expire: ctx => {
      const {nowMs} = ctx;
      if (gathered.length === 0 || nowMs - sentMs < DIGEST_INTERVAL_MS) return;
      sentMs = nowMs;
      const to = members.alive(nowMs).map(({address}) => address);
      for (let i = 0; i < gathered.length; i += CHANGES_PER_DIGEST) {
        const changes = gathered.slice(i, i + CHANGES_PER_DIGEST);
        const message = {kind: 'work_digest', changes} as const;
        if (to.length > 0) ctx.emit({kind: 'send_peers', to, message});
      }
      gathered = [];
    },
  };
}
