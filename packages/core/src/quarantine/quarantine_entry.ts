/** Verdict on a cause, as the store keeps it and gateways share it. */
export interface QuarantineEntry {
  /** Id of a part of prompts, or of a request as a cause. */
  cause: string;
  state: 'quarantined' | 'lifted';
  /**
   * Parts that every prompt held that ended an engine, `cause` apart: any of
   * them may be the cause. Only prompts with all of them are refused. Empty
   * for a request.
   */
  companions: string[];
  /** Unix milliseconds; of two entries of a cause, the later one holds. */
  changedAtMs: number;
  /** Number of prompts that were sent in spite of the quarantine. */
  trials: number;
}
