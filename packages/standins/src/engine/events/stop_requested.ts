/** The process was told to terminate. */
export interface StopRequested {
  kind: 'stop_requested';
}
