/** Above the usual time of an append and its reading back. */
const FIRST_RESEND_MS = 500;
const MAX_RESEND_MS = 4_000;

/** Wait for an answer before a message is sent to the next recorder. */
export function resendDelayMs(sends: number): number {
  return Math.min(MAX_RESEND_MS, FIRST_RESEND_MS * 2 ** (sends - 1));
}
