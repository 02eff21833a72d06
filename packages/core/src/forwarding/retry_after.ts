/** When a caller whose request found no endpoint may come back. */
export const RETRY_AFTER_MS = 250;
