import {reviewEdit} from '@wisterialadder/core/administration/review_edit.js';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {RowChange} from '@wisterialadder/core/table/row_change.js';
import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';
import type {CliError} from '../cli_error.js';
import {diffChanges} from './diff_changes.js';
import type {LocatedProposal} from './located_proposal.js';
import type {TableFiles} from './table_files.js';

/**
 * Computes the changes to a table that importing files makes. With `replace`,
 * rows of the files' types that are not in the files are removed.
 */
export function planImport(
  current: readonly VersionedRow[],
  files: TableFiles,
  replace: boolean,
): Result<RowChange[], CliError[]> {
  const proposals = [
    ...files.rows,
    ...(replace ? removals(current, files) : []),
  ];
  const reviewed = reviewEdit(current, proposals);
  if (!reviewed.ok) {
    return Err(
      reviewed.val.map(({row, key, column, problem}) => ({
        exit: 'invalid',
        message: `${key} column ${column}: ${problem}`,
        location: proposals[row - 1]?.location ?? '',
        hint: '',
      })),
    );
  }
  const changed = new Set(
    diffChanges(current, reviewed.val).map(({key}) => key),
  );
  return Ok(reviewed.val.filter(({key}) => changed.has(key)));
}

function removals(
  current: readonly VersionedRow[],
  files: TableFiles,
): LocatedProposal[] {
  const types = new Set(files.types);
  const kept = new Set(files.rows.map(({type, name}) => `${type}/${name}`));
  return current
    .filter(({key, row}) => types.has(row.type) && !kept.has(key))
    .map(({row, version}) => ({
      type: row.type,
      name: row.name,
      base: version,
      values: null,
      source: 'json',
      location: '--replace',
    }));
}
