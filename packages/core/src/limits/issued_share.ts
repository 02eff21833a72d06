import type {LimitAmounts} from './limit_amounts.js';

/** A share that an allocator has granted and that may still be in use. */
export interface IssuedShare {
  share: LimitAmounts;
  /** Incarnation of the router that sent the demand. */
  incarnation: number;
  /** Time of the demand on the router's clock. */
  askedMs: number;
  /** On the allocator's clock; not before the share expires at the router. */
  expiresMs: number;
}
