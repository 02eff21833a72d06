/** Why an endpoint gets no request now. */
export type Exclusion =
  | 'none'
  | 'not_usable'
  | 'drained'
  | 'paused'
  | 'limited'
  | 'ejected'
  | 'no_room';

/** What a request would cost on one endpoint alone. */
export interface ExplainedEndpoint {
  id: string;
  failureDomain: string;
  excluded: Exclusion;
  /** Requests and prompt parts in flight there. */
  inFlight: number;
  /** Expected time to the first piece or the answer; -1 if excluded. */
  expectedMs: number;
  /** Expected loss of value; -1 if excluded. */
  loss: number;
  /** Whether it would wait for other work there. */
  queued: boolean;
}
