import type {ReadPosition} from './read_position.js';
import type {TableError} from './table_error.js';

/** What a read of the table stream did to the fold. */
export interface TableReadResult {
  position: ReadPosition;
  /** Offset of the newest snapshot record in the read, if it had one. */
  snapshotOffset: number | undefined;
  /** Records that could not be applied. */
  ignored: {offset: number; error: TableError}[];
}
