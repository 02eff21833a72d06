/** What ends an engine: a part that prompts share, or one request alone. */
export type CauseKind = 'part' | 'request';

/** Parts have hexadecimal ids, which cannot begin like this. */
const REQUEST_PREFIX = 'request-';

/**
 * Id of a request as a cause, equal for its repeats at all gateways. It names
 * the size of the body, so that a request of another size is told apart
 * without its digest.
 */
export function requestCause(bodyBytes: number, digest: string): string {
  return `${REQUEST_PREFIX}${bodyBytes}-${digest}`;
}

export function causeKind(cause: string): CauseKind {
  return cause.startsWith(REQUEST_PREFIX) ? 'request' : 'part';
}

/** Size of the body of a request that is a cause; NaN if it is none. */
export function bodyBytesOf(cause: string): number {
  return Number.parseInt(cause.slice(REQUEST_PREFIX.length), 10);
}
