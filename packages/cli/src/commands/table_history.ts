import {HISTORY_ANSWER} from '../client/answers.js';
import type {Command} from './command.js';
import {done, failure} from './command_result.js';

const ROWS_SHOWN = 3;

/** Shows the audit trail. */
export const TABLE_HISTORY: Command = {
  usage: 'table history [row]',
  help: 'Show who changed what and when, newest first; row is TYPE/NAME',
  options: [{flag: '--limit <n>', help: 'Edits shown, 100 by default'}],
  examples: ['table history --limit 10', 'table history class/lookup'],
  run: async (ctx, {args: [row], text}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const params = new URLSearchParams({limit: text('limit') ?? '100'});
    if (row !== undefined) params.set('row', row);
    const path = `/v1/history?${params.toString()}`;
    const answer = await client.val.get(path, HISTORY_ANSWER);
    if (!answer.ok) return failure(answer.val);
    return done({
      columns: ['at', 'author', 'state', 'edit', 'rows'],
      rows: answer.val.edits.map(({at, author, state, editId, keys}) => {
        const more = keys.length - ROWS_SHOWN;
        const shown = keys.slice(0, ROWS_SHOWN).join(' ');
        const rows = more > 0 ? `${shown} and ${more} more` : shown;
        return [at, author, state, editId, rows];
      }),
      notes: [],
      json: answer.val,
    });
  },
};
