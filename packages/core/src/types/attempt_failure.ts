/**
 * How an attempt ended without a whole answer. `connect_failed`: no byte was
 * sent. `said_not_run`: the endpoint stated that it did not run the work.
 * `wrong_instance`: another endpoint has the address, and did not run it.
 * `rejected`: a definite refusal of the request's content, by the endpoint or
 * because it could not be sent. `disconnected`: the endpoint ended the
 * connection after bytes were sent. `broken`: the answer was malformed, or did
 * not come.
 */
export type AttemptFailure =
  | 'connect_failed'
  | 'said_not_run'
  | 'wrong_instance'
  | 'rejected'
  | 'broken'
  | 'disconnected';
