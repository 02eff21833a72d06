/** Another gateway as this one sees it. */
export interface GatewayMember {
  /** Peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** 0 until its first message. */
  incarnation: number;
  /** Steady clock; undefined until its first message. */
  lastHeardMs: number | undefined;
  /** Steady clock; when its address was learned. */
  discoveredMs: number;
  storeReachable: boolean;
  draining: boolean;
}
