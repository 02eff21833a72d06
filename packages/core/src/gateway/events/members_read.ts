import type {MemberRecord} from '../../fleet/member_record.js';

/** Gateways that have announced themselves in the store. */
export interface MembersRead {
  kind: 'members_read';
  members: MemberRecord[];
}
