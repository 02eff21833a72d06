import {errors} from 'undici';
import type {AttemptFailure} from '@wisterialadder/core/types/attempt_failure.js';

/** Errors of connections that the other side has ended. */
const DISCONNECTED_CODES = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);
/** The client ends connections itself on answers with status 100 or 101. */
const BAD_ANSWER = /^bad (?:response|upgrade)$/;

/** What an error of the HTTP client means for an attempt. */
export function attemptFailureOf(err: Error, sent: boolean): AttemptFailure {
  // The request cannot be encoded, for which no endpoint is to blame.
  if (err instanceof errors.InvalidArgumentError) return 'rejected';
  if (!sent) return 'connect_failed';
  if (BAD_ANSWER.test(err.message)) return 'broken';
  const {code = ''} = err as NodeJS.ErrnoException;
  return DISCONNECTED_CODES.has(code) ? 'disconnected' : 'broken';
}
