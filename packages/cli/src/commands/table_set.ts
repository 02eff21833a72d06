import {
  columnsOf,
  isRowType,
  ROW_TYPES,
} from '@wisterialadder/core/administration/columns/row_type.js';
import {fetchTable} from '../client/fetch_table.js';
import type {LocatedProposal} from '../table_files/located_proposal.js';
import {planImport} from '../table_files/plan_import.js';
import type {Command} from './command.js';
import {failure, usageError} from './command_result.js';
import {submitChanges} from './submit_changes.js';

/** Changes columns of one row, or adds a row. */
export const TABLE_SET: Command = {
  usage: 'table set <type> <name> <...columns>',
  help: 'Set columns of a row as COLUMN=VALUE; a new row needs all of them',
  options: [
    {flag: '--id <id>', help: 'Edit id; repeating it repeats no change'},
  ],
  examples: [
    'table set class lookup weight=4',
    'table set customer ana classes="lookup batch"',
  ],
  run: async (ctx, input) => {
    const [type = '', name = ''] = input.args;
    if (!isRowType(type)) {
      const hint = `Use one of ${ROW_TYPES.join(', ')}.`;
      return usageError(`"${type}" is not a row type`, hint);
    }
    if (input.variadicArgs.some(word => word.startsWith('name='))) {
      const hint = 'Add a row with the new name, then remove the old one.';
      return usageError('a row cannot be renamed', hint);
    }
    const malformed = input.variadicArgs.find(word => !word.includes('='));
    if (malformed !== undefined) {
      return usageError(`"${malformed}" is not COLUMN=VALUE`, 'Add the "=".');
    }
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const current = table.val.rows.find(({key}) => key === `${type}/${name}`);
    const cells = current
      ? columnsOf(type).map(([column, rule]) => [
          column,
          rule.format(Reflect.get(current.row, column)),
        ])
      : [];
    const assignments = input.variadicArgs.map(word => {
      const equals = word.indexOf('=');
      return [word.slice(0, equals), word.slice(equals + 1)];
    });
    const {name: _sameName, ...values} = Object.fromEntries([
      ...cells,
      ...assignments,
    ]) as Record<string, string>;
    const row: LocatedProposal = {
      type,
      name,
      base: current?.version ?? 0,
      values,
      source: 'text',
      location: 'command line',
    };
    const files = {types: [], rows: [row]};
    const plan = planImport(table.val.rows, files, false);
    if (!plan.ok) return failure(...plan.val);
    const id = input.option('id') ?? ctx.newEditId();
    return submitChanges(client.val, id, plan.val);
  },
};
