import {HISTORY_RESPONSE} from '../client/responses.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';

const MAX_KEYS_SHOWN = 3;

/** Shows the audit trail. */
export const TABLE_HISTORY: Command = {
  usage: 'table history [row]',
  help: 'Show who changed what and when, newest first; row is TYPE/NAME',
  options: [{flag: '--limit <n>', help: 'Edits shown, 100 by default'}],
  examples: ['table history --limit 10', 'table history class/lookup'],
  run: async (ctx, {args: [row], option}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const params = new URLSearchParams({limit: option('limit') ?? '100'});
    if (row !== undefined) params.set('row', row);
    const path = `/v1/history?${params.toString()}`;
    const response = await client.val.get(path, HISTORY_RESPONSE);
    if (!response.ok) return failure(response.val);
    return success({
      columns: ['at', 'author', 'state', 'edit', 'rows'],
      rows: response.val.edits.map(({at, author, state, editId, keys}) => {
        const more = keys.length - MAX_KEYS_SHOWN;
        const shown = keys.slice(0, MAX_KEYS_SHOWN).join(' ');
        const rows = more > 0 ? `${shown} and ${more} more` : shown;
        return [at, author, state, editId, rows];
      }),
      notes: [],
      json: response.val,
    });
  },
};
