/** Text of an answer arrived. */
export interface PartArrived {
  kind: 'part_arrived';
  id: string;
  text: string;
}

/** The end marker arrived. */
export interface AnswerEnded {
  kind: 'answer_ended';
  id: string;
}

/** A service's answer arrived. */
export interface CallAnswered {
  kind: 'call_answered';
  id: string;
  /** SHA-256 of the body that the service received, if it says so. */
  bodyHash: string;
}

/** The router stated an outcome other than a whole answer. */
export interface OutcomeStated {
  kind: 'outcome_stated';
  id: string;
  outcome: string;
  code: string;
}

/** The connection ended without an answer or an outcome. */
export interface ConnectionEnded {
  kind: 'connection_ended';
  id: string;
  reason: 'unreachable' | 'broken';
}

/** Executions by idempotency key over all services. */
export interface ExecutionsRead {
  kind: 'executions_read';
  executions: Record<string, number>;
}

/** Everything that can happen to a load run. */
export type LoadEvent =
  | PartArrived
  | AnswerEnded
  | CallAnswered
  | OutcomeStated
  | ConnectionEnded
  | ExecutionsRead
  | {kind: 'stop_requested'}
  | {kind: 'tick'};
