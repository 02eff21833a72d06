/** Validity of a share, counted from the demand that requested it. */
export const SHARE_LIFETIME_MS = 5_000;
