import {rowKey} from '../types/row_key.js';
import type {TableFault} from './table_fault.js';
import {ofType, type TableRows} from './table_rows.js';

/** Finds services of classes that lose their last endpoint. */
export function checkOrphans(
  before: TableRows,
  after: TableRows,
): TableFault[] {
  const left = new Set(ofType(after, 'endpoint').map(row => row.service));
  const used = new Map(
    ofType(after, 'class').map(row => [row.service, row.name]),
  );
  return ofType(before, 'endpoint')
    .filter(row => used.has(row.service) && !left.has(row.service))
    .map(row => ({
      key: rowKey(row),
      column: 'service',
      code: 'orphan',
      problem:
        `would leave service "${row.service}" without an endpoint, ` +
        `but class "${used.get(row.service)}" uses it`,
      causes: [],
    }));
}
