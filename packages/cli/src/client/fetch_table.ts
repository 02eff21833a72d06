import {readRow} from '@wisterialadder/core/administration/read_row.js';
import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import {Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {rowKey} from '@wisterialadder/core/types/row_key.js';
import type {CliError} from '../cli_error.js';
import type {AdminClient} from './admin_client.js';
import {TABLE_RESPONSE} from './responses.js';
import type {TableView} from './table_view.js';

/** Fetches the table; omits rows that this version cannot read. */
export async function fetchTable(
  client: AdminClient,
): Promise<Result<TableView, CliError>> {
  const response = await client.get('/v1/table', TABLE_RESPONSE);
  if (!response.ok) return response;
  const rows = response.val.rows.flatMap((view): VersionedRow[] => {
    const {type, name, version, values} = view;
    const base = undefined;
    const row = readRow({type, name, base, values, source: 'json'});
    return row.ok ? [{key: rowKey(row.val), version, row: row.val}] : [];
  });
  return Ok({offset: response.val.offset, rows});
}
