import {Buffer} from 'node:buffer';
import {tableRead} from '../../packages/core/dist/mocks/router_events.js';
import {createTableFold} from '../../packages/core/dist/table/table_fold.js';
import {customers, endpoints} from './rows.mjs';
import {heapOf, cpuUs} from './usage.mjs';

/** Measures heap and snapshot of the table fold by number of rows. */
export function measureTable() {
  const sizes = [
    [100, 0],
    [500, 0],
    [2_100, 0],
    [0, 50],
    [0, 200],
    [0, 600],
    [2_100, 600],
  ];
  const warmUp = [2_100, 600];
  console.table(
    [warmUp, ...sizes].map(([customerRows, endpointRows]) => {
      const {built: fold, bytes} = heapOf(() => {
        const table = createTableFold();
        // One edit per row, as operators make them. Each record is parsed on
        // its own, so that rows share no strings.
        const rows = [...customers(customerRows), ...endpoints(endpointRows)];
        for (const [offset, row] of rows.entries()) {
          const [record] = tableRead([row]).records;
          const edit = {...JSON.parse(record.data), editId: `edit-${offset}`};
          table.apply({offset, data: JSON.stringify(edit)});
        }
        return table;
      });
      const snapshot = fold.snapshot();
      const text = JSON.stringify(snapshot);
      return {
        customers: customerRows,
        endpoints: endpointRows,
        'heap KB': Math.round(bytes / 1_000),
        'rows KB': Math.round(JSON.stringify(snapshot.rows).length / 1_000),
        'verdicts kept': snapshot.verdicts.length,
        'snapshot KB': Math.round(Buffer.byteLength(text) / 1_000),
        'snapshot CPU ms': +(
          cpuUs(() => {
            for (let i = 0; i < 20; i++) JSON.stringify(fold.snapshot());
          }) / 20_000
        ).toFixed(2),
      };
    }),
  );
}
