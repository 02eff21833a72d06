import {readRow} from '@wisterialadder/core/administration/read_row.js';
import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import {Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {rowKey} from '@wisterialadder/core/types/row_key.js';
import type {CliError} from '../cli_error.js';
import type {AdminClient} from './admin_client.js';
import {TABLE_ANSWER} from './answers.js';
import type {TableView} from './table_view.js';

/** Reads the table; rows of a type that this version lacks are left out. */
export async function readTable(
  client: AdminClient,
): Promise<Result<TableView, CliError>> {
  const answer = await client.get('/v1/table', TABLE_ANSWER);
  if (!answer.ok) return answer;
  const rows = answer.val.rows.flatMap((view): VersionedRow[] => {
    const {type, name, version, values} = view;
    const base = undefined;
    const row = readRow({type, name, base, values, source: 'json'});
    return row.ok ? [{key: rowKey(row.val), version, row: row.val}] : [];
  });
  return Ok({offset: answer.val.offset, rows});
}
