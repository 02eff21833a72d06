/**
 * Result of an attempt according to the head of its answer. `invalid`: the
 * endpoint would not have sent such an answer to the request.
 */
export type AnswerVerdict =
  'answer' | 'said_not_run' | 'wrong_instance' | 'invalid';
