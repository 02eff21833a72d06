/** Share of a request's value that is lost if it misses its target. */
export const LATE_LOSS_SHARE = 0.75;
/** Loss per second of delay; prefers the faster of choices in time. */
export const LOSS_PER_SECOND = 0.1;
