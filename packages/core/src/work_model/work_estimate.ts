import type {Estimate} from './estimate.js';
import type {EstimateTable} from './estimate_table.js';

/** An estimate as gateways tell it to each other. */
export interface WorkEstimate extends Estimate {
  table: EstimateTable;
  key: string;
}
