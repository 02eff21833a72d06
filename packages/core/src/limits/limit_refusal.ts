/** Why a customer's request was refused, and when a retry can succeed. */
export interface LimitRefusal {
  code: 'limit_requests' | 'limit_tokens' | 'limit_concurrency';
  retryAfterMs: number;
}
