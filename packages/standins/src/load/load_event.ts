/** Part of a streamed answer arrived. */
export interface PartArrived {
  kind: 'part_arrived';
  id: string;
  text: string;
}

/** The end marker of a stream arrived. */
export interface AnswerEnded {
  kind: 'answer_ended';
  id: string;
}

/** The answer of a plain service arrived. */
export interface CallAnswered {
  kind: 'call_answered';
  id: string;
  /** SHA-256 of the body that the service received; may be empty. */
  bodyHash: string;
}

/** The router stated an outcome other than a completed answer. */
export interface OutcomeStated {
  kind: 'outcome_stated';
  id: string;
  outcome: string;
  code: string;
}

/** The connection ended without an end marker or an outcome. */
export interface ConnectionEnded {
  kind: 'connection_ended';
  id: string;
  reason: 'unreachable' | 'broken';
}

/** Executions by idempotency key, summed over all services. */
export interface ExecutionsRead {
  kind: 'executions_read';
  executions: Record<string, number>;
}

/** Inputs of the load node. */
export type LoadEvent =
  | PartArrived
  | AnswerEnded
  | CallAnswered
  | OutcomeStated
  | ConnectionEnded
  | ExecutionsRead
  | {kind: 'stop_requested'}
  | {kind: 'tick'};
