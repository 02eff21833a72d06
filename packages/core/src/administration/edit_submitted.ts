import type {RowProposal} from './row_proposal.js';

/** An operator wants to change rows of the table. */
export interface EditSubmitted {
  kind: 'edit_submitted';
  /** Identifies whoever waits for the answer. */
  waiter: string;
  /** Chosen by the author; repeating it repeats no change. */
  editId: string;
  author: string;
  proposals: RowProposal[];
}
