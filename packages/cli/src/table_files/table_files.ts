import type {LocatedProposal} from './located_proposal.js';

/** Contents of one or more table files. */
export interface TableFiles {
  /** Row types that the files cover, including those without rows. */
  types: string[];
  rows: LocatedProposal[];
}
