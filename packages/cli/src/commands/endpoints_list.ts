import {fetchTable} from '../client/fetch_table.js';
import {tableJson, tableReport} from '../table_files/table_report.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';

const COLUMNS = ['name', 'desired', 'kind', 'service', 'failureDomain', 'url'];

/** Lists endpoints and the desired state of each. */
export const ENDPOINTS_LIST: Command = {
  usage: 'endpoints list [service]',
  help: 'List endpoints, all or those of a service',
  options: [],
  examples: ['endpoints list', 'endpoints list coder --json'],
  run: async (ctx, {args: [service]}) => {
    const client = ctx.client();
    if (!client.ok) return failure(client.val);
    const table = await fetchTable(client.val);
    if (!table.ok) return failure(table.val);
    const rows = table.val.rows.filter(
      ({row}) =>
        row.type === 'endpoint' &&
        (service === undefined || row.service === service),
    );
    const report = tableReport('endpoint', rows);
    const indexes = COLUMNS.map(column => report.columns.indexOf(column));
    return success({
      columns: COLUMNS,
      rows: report.rows.map(row => indexes.map(index => row[index] ?? '')),
      notes: [],
      json: tableJson(rows),
    });
  },
};
