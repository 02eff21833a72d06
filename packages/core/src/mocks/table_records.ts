import type {RowChange} from '../table/row_change.js';
import type {EditRecord} from '../table/edit_record.js';
import type {LogRecord} from '../types/log_record.js';
import {rowKey} from '../types/row_key.js';
import type {TableRow} from '../types/table_row.js';

/** An edit record at an offset. */
export function editAt(
  offset: number,
  changes: RowChange[],
  over: Partial<EditRecord> = {},
): LogRecord {
  const edit: EditRecord = {
    type: 'edit',
    editId: `edit-${offset}`,
    author: 'operator',
    wallMs: 0,
    changes,
    ...over,
  };
  return {offset, data: JSON.stringify(edit)};
}

/** Changes that add rows which did not exist. */
export function additions(rows: TableRow[]): RowChange[] {
  return rows.map(row => ({key: rowKey(row), base: 0, row}));
}
