import type {LimitAmounts} from './limit_amounts.js';

/** Part of a customer's limit that one router may use. */
export interface ShareEntry {
  customer: string;
  share: LimitAmounts;
  /** Time from the demand after which the router requests a new share. */
  askAfterMs: number;
}
