import type {ShareEntry} from '../../limits/share_entry.js';

/** Shares that an allocator grants; answers `limit_demand`. */
export interface LimitShare {
  kind: 'limit_share';
  /** As in the demand. */
  incarnation: number;
  /** As in the demand. */
  askedMs: number;
  entries: ShareEntry[];
}
