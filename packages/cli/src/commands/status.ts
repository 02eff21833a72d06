import {STATUS_RESPONSE} from '../client/responses.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';

/** Shows the table offset and how far each router is behind it. */
export const STATUS: Command = {
  usage: 'status',
  help: 'Show table offset, lag behind the log, and each router',
  options: [],
  examples: ['status', 'status --json'],
  run: async ctx => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const response = await client.val.get('/v1/status', STATUS_RESPONSE);
    if (!response.ok) return failure(response.val);
    const {table, routers} = response.val;
    const log = table.logReachable ? 'reachable' : 'NOT reachable';
    return success({
      columns: ['router', 'state', 'offset', 'behind', 'reason'],
      rows: routers.map(({address, reachable, ready, offset, reason}) => [
        address,
        reachable ? (ready ? 'ready' : 'not ready') : 'unreachable',
        offset,
        offset < 0 ? '' : Math.max(0, table.offset - offset),
        reason,
      ]),
      notes: [`table offset ${table.offset}, lag ${table.lag}, log ${log}`],
      json: response.val,
    });
  },
};
