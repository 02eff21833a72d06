/**
 * Why a request ends without a complete answer. `duplicate`: another request
 * with its idempotency key may have run.
 */
export type EndReason =
  'timeout' | 'failure' | 'cancelled' | 'refused' | 'duplicate';
