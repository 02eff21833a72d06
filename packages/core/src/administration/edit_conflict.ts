import type {RowKey} from '../types/row_key.js';

/** A row that another edit changed first. */
export interface EditConflict {
  key: RowKey;
  /** Version of the row that the winner left; 0 if it was removed. */
  version: number;
  /** Author and id of the winner; empty if its verdict is not kept. */
  author: string;
  editId: string;
}
