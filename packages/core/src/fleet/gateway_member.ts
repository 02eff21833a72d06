/** Another gateway as this one sees it. */
export interface GatewayMember {
  /** Peer address, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** 0 until it was heard. */
  incarnation: number;
  /** Steady clock; undefined until it was heard. */
  heardMs: number | undefined;
  /** Steady clock; when it became known. */
  knownMs: number;
  storeReachable: boolean;
  draining: boolean;
}
