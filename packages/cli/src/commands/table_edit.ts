import {EDIT_ANSWER} from '../client/answers.js';
import type {Command} from './command.js';
import {failure} from './command_result.js';
import {editReport} from './edit_report.js';

/** Asks for the state of an edit. */
export const TABLE_EDIT: Command = {
  usage: 'table edit <id>',
  help: 'Show the state of an edit, for example of a pending one',
  options: [],
  examples: ['table edit monday-1'],
  run: async (ctx, {args: [id = '']}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const path = `/v1/edits/${encodeURIComponent(id)}`;
    const answer = await client.val.get(path, EDIT_ANSWER);
    return answer.ok ? editReport(answer.val.edit) : failure(answer.val);
  },
};
