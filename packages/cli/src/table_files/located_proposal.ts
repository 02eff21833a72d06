import type {RowProposal} from '@wisterialadder/core/administration/row_proposal.js';

/** A row of a table file and its location in the file. */
export interface LocatedProposal extends RowProposal {
  /** `FILE:LINE` for CSV, `FILE row N` for JSON. */
  location: string;
}
