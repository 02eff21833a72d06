/** A share lasts this long after the router asked for it. */
export const SHARE_LIFETIME_MS = 5_000;
