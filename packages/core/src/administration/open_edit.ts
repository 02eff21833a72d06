import type {EditRecord} from '../table/edit_record.js';
import type {EditWaiter} from './edit_waiter.js';

/** An edit without a verdict. */
export interface OpenEdit {
  record: EditRecord;
  waiters: EditWaiter[];
  /** Whether an append is on its way. */
  appending: boolean;
  /** Whether the record may be in the log. */
  maybeAppended: boolean;
  /** Offset of the record; -1 while it is not known. */
  offset: number;
  /** Next append of a record whose answer was lost. */
  retryAtMs: number;
  /** Appends end here until somebody submits the edit again. */
  retryUntilMs: number;
}
