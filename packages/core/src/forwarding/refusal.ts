/**
 * Why the gateway itself answers a request with a failure. The first five mean
 * that the request is invalid; `quarantined` that a part of its prompt ends
 * engines, so that a repeat would be refused too; `overloaded`, `not_ready`, `draining` and
 * `timed_out_unrun` promise that no endpoint has run it or ever will; `broken`
 * and `timed_out` promise nothing.
 */
export type Refusal =
  | 'bad_request'
  | 'unknown_key'
  | 'unknown_route'
  | 'head_too_large'
  | 'body_too_large'
  | 'quarantined'
  | 'overloaded'
  | 'not_ready'
  | 'draining'
  | 'timed_out_unrun'
  | 'broken'
  | 'timed_out';
