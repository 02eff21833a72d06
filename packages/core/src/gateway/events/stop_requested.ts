/** The process was asked to shut down gracefully. */
export interface StopRequested {
  kind: 'stop_requested';
}
