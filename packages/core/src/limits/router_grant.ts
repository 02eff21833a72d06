import type {DemandEntry} from './demand_entry.js';
import type {IssuedShare} from './issued_share.js';
import type {LimitAmounts} from './limit_amounts.js';

/** An allocator's view of one router's use of a customer's limits. */
export interface RouterGrant {
  demand: DemandEntry;
  /**
   * Shares that the router may hold. An answer can be lost, so an older share
   * counts until the router confirms a newer one or the older one expires.
   */
  issued: IssuedShare[];
  /** Maximum amounts that the router may use. */
  held: LimitAmounts;
}
