import {
  isRowType,
  ROW_TYPES,
} from '@wisterialadder/core/administration/columns/row_type.js';
import {fetchTable} from '../client/fetch_table.js';
import {tableJson, tableReport} from '../table_files/table_report.js';
import type {Command} from './command.js';
import {success, failure, usageError} from './command_result.js';

/** Shows the rows of one type, or how many rows each type has. */
export const TABLE_SHOW: Command = {
  usage: 'table show [type] [name]',
  help: 'Show the table, the rows of a type, or one row',
  options: [],
  examples: ['table show', 'table show class', 'table show endpoint --json'],
  run: async (ctx, {args: [type, name]}) => {
    if (type !== undefined && !isRowType(type)) {
      return usageError(
        `"${type}" is not a row type`,
        `Use one of ${ROW_TYPES.join(', ')}.`,
      );
    }
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const {rows, offset} = table.val;
    if (type === undefined) {
      return success({
        columns: ['type', 'rows'],
        rows: ROW_TYPES.map(t => [
          t,
          rows.filter(r => r.row.type === t).length,
        ]),
        notes: [`table offset ${offset}`],
        json: tableJson(rows),
      });
    }
    const shown = rows.filter(
      ({row}) => name === undefined || row.name === name,
    );
    const report = tableReport(type, shown);
    if (name === undefined || report.rows.length > 0) return success(report);
    return failure({
      exit: 'not_found',
      message: 'row does not exist',
      location: `${type}/${name}`,
      hint: `List the names with "wlctl table show ${type}".`,
    });
  },
};
