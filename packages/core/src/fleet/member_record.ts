/** A gateway as it announces itself. */
export interface MemberRecord {
  /** Peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Larger for each start. */
  incarnation: number;
}
