/**
 * Why a call failed. `expired`: the store has deleted the requested records.
 * `restored`: it was restored from an older copy since the offset was assigned.
 * `unavailable`: no usable answer. `malformed`: an answer that cannot be read.
 */
export type StoreFailure = 'expired' | 'restored' | 'unavailable' | 'malformed';
