/** How a command ended. */
export type ExitReason =
  | 'ok'
  | 'differs'
  | 'usage'
  | 'invalid'
  | 'conflict'
  | 'pending'
  | 'not_applied'
  | 'denied'
  | 'not_found'
  | 'unreachable'
  | 'failed';
