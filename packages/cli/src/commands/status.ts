import {STATUS_ANSWER} from '../client/answers.js';
import type {Command} from './command.js';
import {done, failure} from './command_result.js';

/** Shows how far the table has spread. */
export const STATUS: Command = {
  usage: 'status',
  help: 'Show table offset, lag behind the log, and each router',
  options: [],
  examples: ['status', 'status --json'],
  run: async ctx => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const answer = await client.val.get('/v1/status', STATUS_ANSWER);
    if (!answer.ok) return failure(answer.val);
    const {table, routers} = answer.val;
    const log = table.logReachable ? 'reachable' : 'NOT reachable';
    return done({
      columns: ['router', 'state', 'offset', 'behind', 'reason'],
      rows: routers.map(({address, reachable, ready, offset, reason}) => [
        address,
        reachable ? (ready ? 'ready' : 'not ready') : 'unreachable',
        offset,
        offset < 0 ? '' : Math.max(0, table.offset - offset),
        reason,
      ]),
      notes: [`table offset ${table.offset}, lag ${table.lag}, log ${log}`],
      json: answer.val,
    });
  },
};
