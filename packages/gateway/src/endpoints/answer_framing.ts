const CHUNKED = /(?:^|,)\s*chunked\s*$/i;
/** Statuses of answers that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const SWITCHING_STATUS = 101;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a status is one of a final answer. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Whether the end of an answer is marked. Otherwise only the close of its
 * connection ends it, also with transfer encodings other than chunks.
 */
export function isDelimited(
  method: string,
  status: number,
  headers: NodeJS.Dict<string | string[]>,
): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true;
  const encoding = headers['transfer-encoding'];
  if (encoding !== undefined) return CHUNKED.test(String(encoding));
  return headers['content-length'] !== undefined;
}

/** Why a head that is not final ends an attempt; undefined if it does not. */
export function interimFault(
  status: number,
  count: number,
  maxCount: number,
): string | undefined {
  const isInterim = status !== SWITCHING_STATUS && status < MIN_FINAL_STATUS;
  if (!isInterim) return `status ${status}`;
  return count > maxCount ? 'too many interim answers' : undefined;
}
