import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {RequestKind} from '../configuration/request_kind.js';
import {requestCause} from './cause_kind.js';

/** A request as the quarantine sees it. */
export interface SuspectRequest {
  reqId: string;
  /** Shared parts of its prompt. */
  parts: readonly string[];
  bodyBytes: number;
  /**
   * Id of the request as a cause, the same for its repeats; makes a digest of
   * the body. Undefined if different callers send the same request.
   */
  identify: (() => string) | undefined;
}

/** Creates what the quarantine sees of a request. */
export function createSuspectRequest(
  arrived: RequestArrived,
  kind: RequestKind,
): SuspectRequest {
  const {reqId, sharedParts, bodyBytes} = arrived;
  // Calls that may be repeated are alike, and one that fails is not repeated
  // without a limit.
  const identify =
    kind === 'idempotent'
      ? undefined
      : (): string => requestCause(bodyBytes, arrived.digest());
  return {reqId, parts: sharedParts, bodyBytes, identify};
}
