/**
 * Why a call brought nothing. `expired`: the wanted records are no longer
 * kept. `unavailable`: no usable answer. `malformed`: an answer that cannot be
 * read.
 */
export type StoreFailure = 'expired' | 'unavailable' | 'malformed';
