/** Requests that all gateways together may send to an endpoint. */
export interface RequestRate {
  perSecond: number;
  /** Length of the sliding window in which requests are counted. */
  windowMs: number;
  /**
   * `at_once`: a gateway always has one request in a window, and places that
   * become free are soon open to all gateways. `gradually`: at no time more
   * gateways may send than the endpoint can take from all of them.
   */
  sharing: 'at_once' | 'gradually';
}
