import type {LimitDemand} from './limit_demand.js';
import type {LimitShare} from './limit_share.js';
import type {TableOffset} from './table_offset.js';
import type {TablePull} from './table_pull.js';
import type {TableRecords} from './table_records.js';
import type {TableState} from './table_state.js';

/** What routers say to each other; each is one-way. */
export type PeerMessage =
  | LimitDemand
  | LimitShare
  | TableOffset
  | TablePull
  | TableRecords
  | TableState;
