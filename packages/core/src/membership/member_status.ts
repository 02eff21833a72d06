/** Status of a member; suspects count as alive until they time out. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';
