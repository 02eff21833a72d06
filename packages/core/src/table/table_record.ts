import type {EditRecord} from './edit_record.js';
import type {SnapshotRecord} from './snapshot_record.js';

/** A record of the `table` stream. */
export type TableRecord = EditRecord | SnapshotRecord;
