import type {EndpointNotice} from './endpoint_notice.js';
import type {Gossip} from './gossip.js';
import type {MemberUpdate} from './member_update.js';

/** Members that the sender knows, or those that the receiver lacked. */
export interface MemberList {
  kind: 'member_list';
  /** Buckets of addresses that the list covers. */
  buckets: number[];
  members: MemberUpdate[];
  endpoints: EndpointNotice[];
  /** True if the buckets are complete and the sender wants what it lacks. */
  wantsAnswer: boolean;
  gossip: Gossip;
}
