/** Share of a request's worth that is lost if it is late. */
export const LATE_SHARE = 0.75;
/** Worth of a second, to prefer what is faster among what is in time. */
export const LOSS_PER_SECOND = 0.1;
