import type {EditVerdict} from './edit_verdict.js';
import type {VersionedRow} from './versioned_row.js';

/** State of the table, which replaces records out of retention. */
export interface SnapshotRecord {
  type: 'snapshot';
  /** The state includes every record below this offset. */
  next: number;
  rows: VersionedRow[];
  /** Newest verdicts, so that a repeated edit is still detected. */
  verdicts: EditVerdict[];
}
