import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {ROW_TYPES} from '@wisterialadder/core/administration/columns/row_type.js';
import {fetchTable} from '../client/fetch_table.js';
import {CsvFormat} from '../output/csv_format.js';
import {tableReport} from '../table_files/table_report.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';

/** Writes one CSV file for each row type. */
export const TABLE_EXPORT: Command = {
  usage: 'table export <folder>',
  help: 'Write the table as CSV, one file for each row type',
  options: [],
  examples: ['table export ./table'],
  run: async (ctx, {args: [folder = '.']}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const format = new CsvFormat();
    const files: [string, number][] = [];
    try {
      mkdirSync(folder, {recursive: true});
      for (const type of ROW_TYPES) {
        const report = tableReport(type, table.val.rows);
        const file = join(folder, `${type}.csv`);
        writeFileSync(file, format.render(report));
        files.push([file, report.rows.length]);
      }
    } catch (err) {
      const message = `cannot be written (${(err as Error).message})`;
      const hint = 'Give a folder in which you may create files.';
      return failure({exit: 'failed', message, location: folder, hint});
    }
    return success({
      columns: ['file', 'rows'],
      rows: files,
      notes: [],
      json: {files: files.map(([file, rows]) => ({file, rows}))},
    });
  },
};
