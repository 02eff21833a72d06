/**
 * Added to the duration by those who wait for a lease to end; safe while the
 * clocks of two machines differ in rate by less than this.
 */
export const MARGIN_FRACTION = 0.1;

/** Part of the duration after which the holder renews. */
export const RENEW_FRACTION = 1 / 3;

/**
 * Wait between tries to append, plus up to as much jitter. A third for the
 * first renewal leaves room for three more tries.
 */
export const RETRY_FRACTION = 1 / 12;

/** Spreads contenders, so that most of them see the winner's record first. */
export const CONTEND_JITTER_FRACTION = 1 / 4;

/** A stopping process waits no longer for its release to be read back. */
export const RELEASE_TIMEOUT_MS = 2_000;
