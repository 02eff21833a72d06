/** Settings of a gateway's decision logic. */
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
  /** Time after which a shutdown aborts requests in flight. */
  drainLimitMs: number;
  /** Retries that a service may get per request. */
  retryRatio: number;
  /** Further retries in a window, over all gateways. */
  retryExtra: number;
  /** Length of the window of the retry budget. */
  retryWindowMs: number;
}
