import type {EditRecord} from '../table/edit_record.js';
import type {EditWaiter} from './edit_waiter.js';

/** An edit without a verdict. */
export interface OpenEdit {
  record: EditRecord;
  waiters: EditWaiter[];
  /** Whether an append is in flight. */
  appending: boolean;
  /** Whether the record may be in the log. */
  maybeAppended: boolean;
  /** Offset of the record; -1 while it is not known. */
  offset: number;
  /** Time of the next append of a record whose answer was lost. */
  retryAtMs: number;
  /** Appends end at this time unless the edit is submitted again. */
  retryUntilMs: number;
}
