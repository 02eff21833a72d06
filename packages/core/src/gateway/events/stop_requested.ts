/** The process was asked to end gracefully. */
export interface StopRequested {
  kind: 'stop_requested';
}
