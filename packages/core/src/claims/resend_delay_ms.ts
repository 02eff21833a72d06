/** Longer than an append and its read-back usually take. */
const FIRST_RESEND_MS = 500;
const MAX_RESEND_MS = 4_000;

/** Time to wait for an answer before trying the next recorder. */
export function resendDelayMs(sends: number): number {
  return Math.min(MAX_RESEND_MS, FIRST_RESEND_MS * 2 ** (sends - 1));
}
