import type {DemandEntry} from '../../limits/demand_entry.js';

/** Requests shares from the allocator of some customers. */
export interface LimitDemand {
  kind: 'limit_demand';
  /** Incarnation of the sender. */
  incarnation: number;
  /** Monotonic time of the sender; the lifetime of the shares starts here. */
  askedMs: number;
  entries: DemandEntry[];
}
