/** The process received a termination signal. */
export interface StopRequested {
  kind: 'stop_requested';
}
