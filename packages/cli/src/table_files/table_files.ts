import type {LocatedProposal} from './located_proposal.js';

/** What table files contain. */
export interface TableFiles {
  /** Types that the files are about, also if they have no row of them. */
  types: string[];
  rows: LocatedProposal[];
}
