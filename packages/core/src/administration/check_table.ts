import {rowKey, type RowKey} from '../types/row_key.js';
import type {TableFault} from './table_fault.js';
import {ofType, type TableRows} from './table_rows.js';

/** Finds references to missing rows and duplicates of unique values. */
export function checkTable(rows: TableRows): TableFault[] {
  return [
    ...checkClassServices(rows),
    ...checkCustomerClasses(rows),
    ...checkEndpointModels(rows),
    ...findDuplicates(
      ofType(rows, 'customer').flatMap(row =>
        row.keyHashes.map(value => ({key: rowKey(row), value})),
      ),
      'keyHashes',
    ),
    ...findDuplicates(
      ofType(rows, 'endpoint').map(row => ({key: rowKey(row), value: row.url})),
      'url',
    ),
  ];
}

function checkClassServices(rows: TableRows): TableFault[] {
  const endpoints = ofType(rows, 'endpoint');
  return ofType(rows, 'class')
    .filter(
      ({service}) =>
        !rows.has(`model/${service}`) &&
        !endpoints.some(endpoint => endpoint.service === service),
    )
    .map(row => ({
      key: rowKey(row),
      column: 'service',
      code: 'unknown_name',
      problem: `no endpoint or model "${row.service}" exists`,
      causes: [`model/${row.service}`],
    }));
}

function checkCustomerClasses(rows: TableRows): TableFault[] {
  return ofType(rows, 'customer').flatMap(row =>
    row.classes
      .filter(name => !rows.has(`class/${name}`))
      .map(name => ({
        key: rowKey(row),
        column: 'classes',
        code: 'unknown_name' as const,
        problem: `class "${name}" does not exist`,
        causes: [`class/${name}` as const],
      })),
  );
}

function checkEndpointModels(rows: TableRows): TableFault[] {
  return ofType(rows, 'endpoint').flatMap(row => {
    const model: RowKey = `model/${row.service}`;
    if (rows.has(model) === (row.kind === 'engine')) return [];
    const problem =
      row.kind === 'engine'
        ? `model "${row.service}" does not exist`
        : `"${row.service}" is a model, which plain services cannot serve`;
    const code = row.kind === 'engine' ? 'unknown_name' : 'contradiction';
    const key = rowKey(row);
    return [{key, column: 'service', code, problem, causes: [model]}];
  });
}

function findDuplicates(
  values: {key: RowKey; value: string}[],
  column: string,
): TableFault[] {
  const owners = new Map<string, RowKey>();
  return values.flatMap(({key, value}) => {
    const owner = owners.get(value) ?? key;
    owners.set(value, owner);
    if (owner === key) return [];
    const problem = `has the same value as ${owner}`;
    return [{key, column, code: 'duplicate', problem, causes: [owner]}];
  });
}
