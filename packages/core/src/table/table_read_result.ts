import type {LogRecord} from '../types/log_record.js';
import type {ReadPosition} from './read_position.js';
import type {TableError} from './table_error.js';

/** Effect of a read of the table stream on the fold. */
export interface TableReadResult {
  position: ReadPosition;
  /** Offset of the newest snapshot record in the read, if it had one. */
  snapshotOffset: number | undefined;
  /** Next offset of the restored snapshot, if one was restored. */
  restoredTo: number | undefined;
  /** Edits that were applied, accepted or not. */
  edits: LogRecord[];
  /** Records that could not be applied. */
  ignored: {offset: number; error: TableError}[];
}
