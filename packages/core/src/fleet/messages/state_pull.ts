/** Requests the receiver's state copy while the store is unreachable. */
export interface StatePull {
  kind: 'state_pull';
  /** Configuration version that the sender has. */
  configurationVersion: number;
}
