import type {GossipPush} from './gossip_push.js';
import type {MemberDigest} from './member_digest.js';
import type {MemberList} from './member_list.js';
import type {Probe} from './probe.js';
import type {ProbeAck} from './probe_ack.js';
import type {ProbeRequest} from './probe_request.js';

/** Messages of the membership; each carries gossip. */
export type MembershipMessage =
  GossipPush | MemberDigest | MemberList | Probe | ProbeAck | ProbeRequest;
