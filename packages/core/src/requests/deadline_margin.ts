/**
 * Time before the deadline at which a request is ended, so that the answer
 * reaches the caller in time.
 */
export const DEADLINE_MARGIN_MS = 50;
