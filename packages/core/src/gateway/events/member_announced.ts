/** The store has taken this gateway's announcement. */
export interface MemberAnnounced {
  kind: 'member_announced';
}
