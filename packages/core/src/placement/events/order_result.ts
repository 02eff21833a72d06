/**
 * How an order ended. `stale_token`: the endpoint has seen a newer lease.
 * `expired`: its time was over before it was written. `failed`: the endpoint
 * refused it or did not answer; it may have been carried out.
 */
export type OrderResult = 'accepted' | 'expired' | 'failed' | 'stale_token';
