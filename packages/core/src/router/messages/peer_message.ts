import type {TableOffset} from './table_offset.js';

/** What routers say to each other; each is one-way. */
export type PeerMessage = TableOffset;
