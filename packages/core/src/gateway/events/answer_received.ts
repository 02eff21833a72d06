/** An endpoint's whole answer that is no stream. */
export interface AnswerReceived {
  kind: 'answer_received';
  reqId: string;
  attempt: number;
  /** HTTP status. */
  status: number;
}
