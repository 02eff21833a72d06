import type {MemberRecord} from '../../fleet/member_record.js';

/** Announces this gateway in the store. */
export interface AnnounceMember {
  kind: 'announce_member';
  record: MemberRecord;
}
