import type {PlacedProposal} from './placed_proposal.js';

/** What table files contain. */
export interface TableFiles {
  /** Types that the files are about, also if they have no row of them. */
  types: string[];
  rows: PlacedProposal[];
}
