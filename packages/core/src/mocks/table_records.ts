import type {RowChange} from '../table/row_change.js';
import type {LogRead} from '../router/events/log_read.js';
import type {EditRecord} from '../table/edit_record.js';
import {createTableFold} from '../table/table_fold.js';
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

/** A snapshot record at an offset, of the state after `records`. */
export function snapshotAt(offset: number, records: LogRecord[]): LogRecord {
  const fold = createTableFold();
  for (const record of records) fold.apply(record);
  return {offset, data: JSON.stringify(fold.snapshot())};
}

/** A read of the table stream that reaches its end. */
export function tableReadOf(
  records: LogRecord[],
  over: Partial<LogRead> = {},
): LogRead {
  const earliest = records[0]?.offset ?? 0;
  const end = (records.at(-1)?.offset ?? earliest - 1) + 1;
  return {
    kind: 'log_read',
    stream: 'table',
    from: earliest,
    earliest,
    end,
    records,
    ...over,
  };
}
