/** Why it is certain that no endpoint acted on a request. */
export type NotRunReason =
  'never_dispatched' | 'connect_failed' | 'endpoint_said_not_run';

declare const issued: unique symbol;

/**
 * Evidence that a request was not run. Only the attempt history can issue one,
 * so that "not run" cannot be claimed without a check of the attempts.
 */
export interface NotRunProof {
  readonly reason: NotRunReason;
  readonly [issued]: true;
}

/** Issues a proof; for the attempt history only. */
export function issueNotRunProof(reason: NotRunReason): NotRunProof {
  return {reason} as NotRunProof;
}
