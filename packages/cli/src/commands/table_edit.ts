import {EDIT_RESPONSE} from '../client/responses.js';
import type {Command} from './command.js';
import {failure} from './command_result.js';
import {editReport} from './edit_report.js';

/** Shows the state of an edit. */
export const TABLE_EDIT: Command = {
  usage: 'table edit <id>',
  help: 'Show the state of an edit, for example of a pending one',
  options: [],
  examples: ['table edit monday-1'],
  run: async (ctx, {args: [id = '']}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const path = `/v1/edits/${encodeURIComponent(id)}`;
    const response = await client.val.get(path, EDIT_RESPONSE);
    return response.ok ? editReport(response.val.edit) : failure(response.val);
  },
};
