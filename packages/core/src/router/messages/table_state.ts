import type {SnapshotRecord} from '../../table/snapshot_record.js';

/** Snapshot of the table, for a peer that is too far behind for records. */
export interface TableState {
  kind: 'table_state';
  snapshot: SnapshotRecord;
}
