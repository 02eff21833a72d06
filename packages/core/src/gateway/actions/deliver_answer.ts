/** Passes an attempt's whole answer on to the caller. */
export interface DeliverAnswer {
  kind: 'deliver_answer';
  reqId: string;
  attempt: number;
}
