/** Another gateway as this one sees it. */
export interface GatewayMember {
  /** Peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** 0 until it was heard. */
  incarnation: number;
  /** Steady clock; undefined until it was heard. */
  lastHeardMs: number | undefined;
  /** Steady clock; when it became known. */
  discoveredMs: number;
  storeReachable: boolean;
  draining: boolean;
}
