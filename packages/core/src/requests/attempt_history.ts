import type {AttemptFailure} from '../types/attempt_failure.js';
import {issueNotRunProof, type NotRunProof} from '../types/not_run_proof.js';

/** What became of a request's attempts. */
export interface AttemptHistory {
  started(): void;
  /** The current attempt ended without a whole answer. */
  failed(failure: AttemptFailure): void;
  /** Attempts of which it is not certain that they did not run. */
  possibleRuns(): number;
  /** Proof that no endpoint acted on the request, if there is one. */
  notRunProof(): NotRunProof | undefined;
}

/** Creates a history without attempts. */
export function createAttemptHistory(): AttemptHistory {
  let starts = 0;
  let connectFailures = 0;
  let notRunAnswers = 0;

  function possibleRuns(): number {
    return starts - connectFailures - notRunAnswers;
  }

  function notRunProof(): NotRunProof | undefined {
    if (starts === 0) return issueNotRunProof('never_dispatched');
    if (possibleRuns() > 0) return undefined;
    return issueNotRunProof(
      notRunAnswers > 0 ? 'endpoint_said_not_run' : 'connect_failed',
    );
  }

  return {
    started: () => {
      starts += 1;
    },
    failed: failure => {
      if (failure === 'connect_failed') connectFailures += 1;
      if (failure === 'said_not_run' || failure === 'wrong_instance') {
        notRunAnswers += 1;
      }
    },
    possibleRuns,
    notRunProof,
  };
}
