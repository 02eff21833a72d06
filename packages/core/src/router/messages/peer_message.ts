import type {MembershipMessage} from './membership_message.js';
import type {TableOffset} from './table_offset.js';

/** What routers say to each other; each is one-way. */
export type PeerMessage = MembershipMessage | TableOffset;
