/**
 * How an attempt ended without a whole answer. `connect_failed`: no byte was
 * sent. `said_not_run`: the endpoint stated that it did not run the work.
 * `wrong_instance`: another endpoint has the address, and did not run it.
 * `rejected`: a definite refusal of the request's content, by the endpoint or
 * because it could not be sent. `broken`: the
 * connection ended or the answer was malformed after bytes were sent.
 */
export type AttemptFailure =
  'connect_failed' | 'said_not_run' | 'wrong_instance' | 'rejected' | 'broken';
