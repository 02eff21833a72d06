/** The operator sent a termination signal. */
export interface StopRequested {
  kind: 'stop_requested';
}
