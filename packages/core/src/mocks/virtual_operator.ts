import type {EditRecord} from '../table/edit_record.js';
import {rowKey} from '../types/row_key.js';
import {classRow} from './rows.js';
import type {VirtualTableFleet} from './virtual_table_fleet.js';

const ROW_NAMES = ['a', 'b', 'c'];

/** Operators that edit the table of a fleet. */
export interface VirtualOperator {
  /** Appends an edit that is based on the versions which a node holds. */
  edit(address: string): void;
  /** Appends the newest edit again, as after a lost answer. */
  repeat(): void;
}

/** Creates operators of a fleet. */
export function createVirtualOperator(
  fleet: VirtualTableFleet,
): VirtualOperator {
  let edits = 0;
  let newest: string | undefined;

  function edit(address: string): void {
    edits += 1;
    const name = ROW_NAMES[Math.floor(fleet.random() * ROW_NAMES.length)]!;
    const row = classRow({name, timeoutMs: 1_000 + edits});
    const known = fleet.node(address).table.fold.get(rowKey(row));
    const removes = known !== undefined && fleet.random() < 0.2;
    const record: EditRecord = {
      type: 'edit',
      editId: `edit-${edits}`,
      author: address,
      wallMs: 0,
      changes: [
        {
          key: rowKey(row),
          base: known?.version ?? 0,
          row: removes ? null : row,
        },
      ],
    };
    newest = JSON.stringify(record);
    repeat();
  }

  function repeat(): void {
    if (newest !== undefined) fleet.log.append(newest, fleet.nowMs());
  }

  return {edit, repeat};
}
