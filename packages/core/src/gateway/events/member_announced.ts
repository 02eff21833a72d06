/** The store has recorded this gateway's announcement. */
export interface MemberAnnounced {
  kind: 'member_announced';
}
