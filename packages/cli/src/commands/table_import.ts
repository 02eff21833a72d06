import {fetchTable} from '../client/fetch_table.js';
import {diffChanges} from '../table_files/diff_changes.js';
import {planImport} from '../table_files/plan_import.js';
import {readTableFiles} from '../table_files/read_table_files.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';
import {diffReport} from './diff_report.js';
import {submitChanges} from './submit_changes.js';

/** Sends the rows of files as one edit. */
export const TABLE_IMPORT: Command = {
  usage: 'table import <...paths>',
  help: 'Check CSV or JSON files and send their rows as one edit',
  options: [
    {flag: '--replace', help: 'Remove rows that are not in the files'},
    {flag: '--dry-run', help: 'Show what would change and send nothing'},
    {flag: '--id <id>', help: 'Edit id; repeating it repeats no change'},
  ],
  examples: [
    'table import ./table',
    'table import customer.csv --dry-run',
    'table import ./table --replace --id monday-1',
  ],
  run: async (ctx, input) => {
    const files = readTableFiles(input.variadicArgs);
    if (!files.ok) return failure(files.val);
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const {rows} = table.val;
    const plan = planImport(rows, files.val, input.flag('replace'));
    if (!plan.ok) return failure(...plan.val);
    if (input.flag('dryRun')) {
      return success(diffReport(diffChanges(rows, plan.val)));
    }
    const id = input.option('id') ?? ctx.newEditId();
    return submitChanges(client.val, id, plan.val);
  },
};
