import type {Outcome} from '@wisterialadder/core/types/outcome.js';

/** Response body of a request that did not complete. */
export interface OutcomeBody {
  outcome: Outcome['kind'];
  error: {code: string; message: string};
  requestId: string;
}

const MESSAGES: Record<Exclude<Outcome['kind'], 'completed'>, string> = {
  rejected_not_run: 'The request was not run.',
  failed: 'The request ended without a whole answer.',
  outcome_unknown: 'The request may or may not have been run.',
  timed_out: 'The request did not finish within its timeout.',
};

/** Describes an outcome to the caller. */
export function outcomeBody(reqId: string, outcome: Outcome): OutcomeBody {
  const code = outcome.kind === 'completed' ? '' : outcome.code;
  const message = outcome.kind === 'completed' ? '' : MESSAGES[outcome.kind];
  return {
    outcome: outcome.kind,
    error: {code, message},
    requestId: reqId,
  };
}
