/**
 * Why the gateway itself answers a request with a failure. The first five mean
 * that the request is invalid; `overloaded`, `not_ready`, `draining` and
 * `timed_out_unrun` promise that no endpoint has run it or ever will; `broken`
 * and `timed_out` promise nothing.
 */
export type Refusal =
  | 'bad_request'
  | 'unknown_key'
  | 'unknown_route'
  | 'head_too_large'
  | 'body_too_large'
  | 'overloaded'
  | 'not_ready'
  | 'draining'
  | 'timed_out_unrun'
  | 'broken'
  | 'timed_out';
