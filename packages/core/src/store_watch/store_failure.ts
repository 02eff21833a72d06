/**
 * Why a call failed. `expired`: the store has deleted the requested records.
 * `unavailable`: no usable answer. `malformed`: an answer that cannot be read.
 */
export type StoreFailure = 'expired' | 'unavailable' | 'malformed';
