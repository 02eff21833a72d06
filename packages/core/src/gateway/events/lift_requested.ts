/** An operator lifts the quarantine of a part of prompts or of a request. */
export interface LiftRequested {
  kind: 'lift_requested';
  cause: string;
}
