/**
 * Outcome of a request as its caller observed it: one stated by the router, or
 * `wrong_answer`: text of another answer, or an end marker before the end.
 * `broken`: the connection ended without an outcome. `unreachable`: no
 * connection. `no_answer`: no end until timeout and grace period had passed.
 */
export type ObservedOutcome =
  | 'completed'
  | 'wrong_answer'
  | 'broken'
  | 'unreachable'
  | 'no_answer'
  | (string & {});
