import type {Report} from '../output/report.js';
import type {RowDifference} from '../table_files/row_difference.js';

/** Lists differences. */
export function diffReport(differences: RowDifference[]): Report {
  return {
    columns: ['change', 'row', 'column', 'from', 'to'],
    rows: differences.map(({change, key, column, from, to}) => [
      change,
      key,
      column,
      from,
      to,
    ]),
    notes: differences.length === 0 ? ['no differences'] : [],
    json: {differences},
  };
}
