import type {LimitAmounts} from './limit_amounts.js';

/** What one router's callers want on behalf of a customer. */
export interface DemandEntry {
  customer: string;
  /** Including what was refused. */
  wanted: LimitAmounts;
  /** Requests of the customer that have not ended. */
  inFlight: number;
  /** `askedMs` of the share that the router holds; -1 if it holds none. */
  heldMs: number;
}
