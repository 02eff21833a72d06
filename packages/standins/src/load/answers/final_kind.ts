/**
 * How a request ended, as its caller saw it. Besides the outcomes that a
 * router states: `wrong_answer`: a whole answer that is not the prompt's, or
 * is not whole. `broken`: the connection ended without an outcome.
 * `unreachable`: no connection. `no_answer`: nothing until after the timeout.
 */
export type FinalKind =
  | 'completed'
  | 'wrong_answer'
  | 'broken'
  | 'unreachable'
  | 'no_answer'
  | (string & {});
