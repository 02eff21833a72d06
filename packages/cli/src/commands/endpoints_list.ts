import {readTable} from '../client/read_table.js';
import {tableJson, tableReport} from '../table_files/table_report.js';
import type {Command} from './command.js';
import {done, failure} from './command_result.js';

const SHOWN = ['name', 'desired', 'kind', 'service', 'failureDomain', 'url'];

/** Lists endpoints and what the operator wants of each. */
export const ENDPOINTS_LIST: Command = {
  usage: 'endpoints list [service]',
  help: 'List endpoints, all or those of a service',
  options: [],
  examples: ['endpoints list', 'endpoints list coder --json'],
  run: async (ctx, {args: [service]}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await readTable(client.val);
    if (!table.ok) return failure(table.val);
    const rows = table.val.rows.filter(
      ({row}) =>
        row.type === 'endpoint' &&
        (service === undefined || row.service === service),
    );
    const report = tableReport('endpoint', rows);
    const places = SHOWN.map(column => report.columns.indexOf(column));
    return done({
      columns: SHOWN,
      rows: report.rows.map(row => places.map(place => row[place] ?? '')),
      notes: [],
      json: tableJson(rows),
    });
  },
};
