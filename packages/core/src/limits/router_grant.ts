import type {DemandEntry} from './demand_entry.js';
import type {IssuedShare} from './issued_share.js';
import type {LimitAmounts} from './limit_amounts.js';

/** What an allocator knows of one router's use of a customer's limit. */
export interface RouterGrant {
  demand: DemandEntry;
  /**
   * Shares that the router may hold. An answer can be lost, so an older share
   * counts until the router confirms a newer one or the share expires.
   */
  issued: IssuedShare[];
  /** The most that the router may use. */
  held: LimitAmounts;
}
