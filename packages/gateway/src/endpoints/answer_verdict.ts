/** What the head of an answer says of the attempt. */
export type AnswerVerdict = 'answer' | 'said_not_run' | 'wrong_instance';
