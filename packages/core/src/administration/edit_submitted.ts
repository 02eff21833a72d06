import type {RowProposal} from './row_proposal.js';

/** An operator's request to change rows of the table. */
export interface EditSubmitted {
  kind: 'edit_submitted';
  /** Identifies the client that waits for the answer. */
  waiter: string;
  /** Chosen by the author; an edit sent twice is applied once. */
  editId: string;
  author: string;
  proposals: RowProposal[];
}
