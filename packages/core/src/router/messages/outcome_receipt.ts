/** The recorder has read the outcome back from the log. */
export interface OutcomeReceipt {
  kind: 'outcome_receipt';
  claimId: string;
}
