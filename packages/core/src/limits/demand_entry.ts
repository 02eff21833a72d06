import type {LimitAmounts} from './limit_amounts.js';

/** Demand of one customer at one router. */
export interface DemandEntry {
  customer: string;
  /** Includes refused requests. */
  wanted: LimitAmounts;
  /** Requests of the customer that have not ended. */
  inFlight: number;
  /** `askedMs` of the share that the router holds; -1 if it holds none. */
  heldMs: number;
}
