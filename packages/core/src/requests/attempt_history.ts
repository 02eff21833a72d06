import type {AttemptFailure} from '../types/attempt_failure.js';
import {issueNotRunProof, type NotRunProof} from '../types/not_run_proof.js';

/** Tracks how the attempts of a request ended. */
export interface AttemptHistory {
  started(): void;
  /** The current attempt ended without a complete answer. */
  failed(failure: AttemptFailure): void;
  /** Number of attempts that may have run. */
  possibleRuns(): number;
  /** Proof that no endpoint acted on the request, if there is one. */
  notRunProof(): NotRunProof | undefined;
}

/** Creates a history without attempts. */
export function createAttemptHistory(): AttemptHistory {
  let startCount = 0;
  let connectFailureCount = 0;
  let notRunAnswerCount = 0;

  function possibleRuns(): number {
    return startCount - connectFailureCount - notRunAnswerCount;
  }

  function notRunProof(): NotRunProof | undefined {
    if (startCount === 0) return issueNotRunProof('never_dispatched');
    if (possibleRuns() > 0) return undefined;
    return issueNotRunProof(
      notRunAnswerCount > 0 ? 'endpoint_said_not_run' : 'connect_failed',
    );
  }

  return {
    started: () => {
      startCount += 1;
    },
    failed: failure => {
      if (failure === 'connect_failed') connectFailureCount += 1;
      if (failure === 'said_not_run' || failure === 'wrong_instance') {
        notRunAnswerCount += 1;
      }
    },
    possibleRuns,
    notRunProof,
  };
}
