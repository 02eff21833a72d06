import type {LogRecord} from '../types/log_record.js';
import type {ReadPosition} from './read_position.js';
import type {TableError} from './table_error.js';

/** What a read of the table stream did to the fold. */
export interface TableReadResult {
  position: ReadPosition;
  /** Offset of the newest snapshot record in the read, if it had one. */
  snapshotOffset: number | undefined;
  /** Next offset of the snapshot that was taken over, if one was. */
  restoredTo: number | undefined;
  /** Edits that were applied, accepted or not. */
  edits: LogRecord[];
  /** Records that could not be applied. */
  ignored: {offset: number; error: TableError}[];
}
