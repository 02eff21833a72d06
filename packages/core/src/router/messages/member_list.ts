import type {EndpointNotice} from './endpoint_notice.js';
import type {Gossip} from './gossip.js';
import type {MemberUpdate} from './member_update.js';

/** What the sender knows, or what the receiver's own list lacked. */
export interface MemberList {
  kind: 'member_list';
  members: MemberUpdate[];
  endpoints: EndpointNotice[];
  /** True if the list is complete and its sender wants what it lacks. */
  wantsAnswer: boolean;
  gossip: Gossip;
}
