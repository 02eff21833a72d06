/** Why a request ends without a whole answer. */
export type EndReason = 'timeout' | 'failure' | 'cancelled' | 'refused';
