import {proposal, validRows} from '@wisterialadder/core/mocks/admin_edits.js';
import type {TableRow} from '@wisterialadder/core/types/table_row.js';

/** Body of `POST /v1/edits` that sets the rows. */
export function editBody(
  rows: TableRow[] = validRows(),
  id?: string,
): Record<string, unknown> {
  const changes = rows.map(row => {
    const {type, name, values} = proposal(row);
    return {type, name, values};
  });
  return {...(id === undefined ? {} : {id}), changes};
}
