/** Result of an attempt according to the head of its answer. */
export type AnswerVerdict = 'answer' | 'said_not_run' | 'wrong_instance';
