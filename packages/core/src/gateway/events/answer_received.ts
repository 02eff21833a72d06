/** An endpoint sent its whole answer, which is not a stream. */
export interface AnswerReceived {
  kind: 'answer_received';
  reqId: string;
  attempt: number;
  /** HTTP status. */
  status: number;
}
