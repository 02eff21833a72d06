/** What a gateway believes of another one. */
export interface MemberStatus {
  address: string;
  failureDomain: string;
  alive: boolean;
  /** Time since it was heard; -1 if it never was. */
  silentMs: number;
  storeReachable: boolean;
  draining: boolean;
}
