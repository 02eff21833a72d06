/** Suggested wait of callers before they retry a refused request. */
export const RETRY_AFTER_MS = 250;
