/** Asks for what the receiver knows, since the store cannot be reached. */
export interface StatePull {
  kind: 'state_pull';
  /** Version that the sender has. */
  configurationVersion: number;
}
