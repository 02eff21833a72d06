/**
 * Part of the duration that contenders wait in addition, for a lease to end.
 * Safe while the clock rates of two machines differ by less than this.
 */
export const CLOCK_RATE_MARGIN_FRACTION = 0.1;

/** Part of the duration after which the holder renews the lease. */
export const RENEW_FRACTION = 1 / 3;

/**
 * Part of the duration between two attempts to append, plus up to the same as
 * jitter. Renewing first at a third leaves time for three more attempts.
 */
export const RETRY_FRACTION = 1 / 12;

/**
 * Maximum jitter before an acquire, as a part of the duration. It spreads the
 * contenders, so that most read the winner's record before they try.
 */
export const CONTEND_JITTER_FRACTION = 1 / 4;

/** Maximum time that a stopping process waits to read back its release. */
export const RELEASE_TIMEOUT_MS = 2_000;
