/** Status of another gateway as this one sees it. */
export interface MemberStatus {
  address: string;
  failureDomain: string;
  alive: boolean;
  /** Time since its last message; -1 if there was none. */
  silentMs: number;
  storeReachable: boolean;
  draining: boolean;
}
