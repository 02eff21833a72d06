import type {TableRow} from '../types/table_row.js';
import type {RowFault} from './row_fault.js';

/** Finds values of one row that contradict each other. */
export function checkRowValues(row: TableRow): RowFault[] {
  if (row.type === 'model' && row.minReplicas > row.maxReplicas) {
    return [
      contradiction(
        'minReplicas',
        `${row.minReplicas} is more than maxReplicas ${row.maxReplicas}`,
      ),
    ];
  }
  if (row.type !== 'endpoint') return [];
  if (row.kind === 'engine' && row.kvCapacityTokens === 0) {
    return [contradiction('kvCapacityTokens', 'an engine needs more than 0')];
  }
  if (row.kind === 'service' && row.kvCapacityTokens > 0) {
    return [contradiction('kvCapacityTokens', 'a plain service has 0')];
  }
  return [];
}

function contradiction(column: string, problem: string): RowFault {
  return {column, code: 'contradiction', problem};
}
