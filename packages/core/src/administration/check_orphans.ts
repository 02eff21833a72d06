import {rowKey} from '../types/row_key.js';
import type {TableFault} from './table_fault.js';
import {ofType, type TableRows} from './table_rows.js';

/** Finds services that lose their last endpoint while a class needs them. */
export function checkOrphans(
  before: TableRows,
  after: TableRows,
): TableFault[] {
  const remaining = new Set(ofType(after, 'endpoint').map(row => row.service));
  const classByService = new Map(
    ofType(after, 'class').map(row => [row.service, row.name]),
  );
  return ofType(before, 'endpoint')
    .filter(
      row => classByService.has(row.service) && !remaining.has(row.service),
    )
    .map(row => ({
      key: rowKey(row),
      column: 'service',
      code: 'orphan',
      problem:
        `would leave service "${row.service}" without an endpoint, ` +
        `but class "${classByService.get(row.service)}" uses it`,
      causes: [],
    }));
}
