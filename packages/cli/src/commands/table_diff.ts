import {fetchTable} from '../client/fetch_table.js';
import {diffChanges} from '../table_files/diff_changes.js';
import {planImport} from '../table_files/plan_import.js';
import {readTableFiles} from '../table_files/read_table_files.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';
import {diffReport} from './diff_report.js';

/** Compares files with the table. */
export const TABLE_DIFF: Command = {
  usage: 'table diff <...paths>',
  help: 'Show how files differ from the table; exit status 1 if they do',
  options: [],
  examples: ['table diff ./table', 'table diff class.csv --json'],
  run: async (ctx, {variadicArgs: paths}) => {
    const files = readTableFiles(paths);
    if (!files.ok) return failure(files.val);
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const plan = planImport(table.val.rows, files.val, true);
    if (!plan.ok) return failure(...plan.val);
    const differences = diffChanges(table.val.rows, plan.val);
    const exit = differences.length > 0 ? 'differs' : 'ok';
    return success(diffReport(differences), exit);
  },
};
