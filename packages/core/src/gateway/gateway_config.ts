/** Settings of a gateway's decisions. */
export interface GatewayConfig {
  /** Peer address of this gateway, `IP:PORT`. */
  address: string;
  failureDomain: string;
  /** Wall clock at the start, in milliseconds. */
  incarnation: number;
  /** Peer addresses to contact first. */
  seeds: string[];
  /** Time between "not ready" and refusing requests at shutdown. */
  drainNoticeMs: number;
  /** Time after which a shutdown cuts what is still in flight. */
  drainLimitMs: number;
  /** Repeats that a service may get for each request. */
  retryRatio: number;
  /** Repeats beyond that in a window, over all gateways. */
  retryExtra: number;
  retryWindowMs: number;
}
