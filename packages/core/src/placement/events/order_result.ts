/**
 * Result of an order. `stale_token`: the endpoint has seen a newer fencing
 * token. `expired`: its time limit passed before it was sent. `failed`: the
 * endpoint refused it or did not answer; it may have been carried out.
 */
export type OrderResult = 'accepted' | 'expired' | 'failed' | 'stale_token';
