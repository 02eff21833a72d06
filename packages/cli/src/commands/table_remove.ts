import {fetchTable} from '../client/fetch_table.js';
import {planImport} from '../table_files/plan_import.js';
import type {LocatedProposal} from '../table_files/located_proposal.js';
import type {Command} from './command.js';
import {failure} from './command_result.js';
import {submitChanges} from './submit_changes.js';

/** Removes rows of one type. */
export const TABLE_REMOVE: Command = {
  usage: 'table remove <type> <...names>',
  help: 'Remove rows; refused if traffic would be left without them',
  options: [
    {flag: '--id <id>', help: 'Edit id; repeating it repeats no change'},
  ],
  examples: ['table remove endpoint engine-3'],
  run: async (ctx, {args: [type = ''], variadicArgs: names, option}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const removals = names.map((name): LocatedProposal => ({
      type,
      name,
      base: undefined,
      values: null,
      source: 'text',
      location: 'command line',
    }));
    const plan = planImport(table.val.rows, {types: [], rows: removals}, false);
    if (!plan.ok) return failure(...plan.val);
    return submitChanges(client.val, option('id') ?? ctx.newEditId(), plan.val);
  },
};
