import {basename} from 'node:path';
import {
  isRowType,
  ROW_TYPES,
} from '@wisterialadder/core/administration/columns/row_type.js';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {CliError} from '../cli_error.js';
import {parseCsv} from '../csv/parse_csv.js';
import type {CsvRecord} from '../csv/csv_record.js';
import type {LocatedProposal} from './located_proposal.js';
import type {TableFiles} from './table_files.js';
import {ROW_VERSION_COLUMN} from './row_version_column.js';

/** Reads `TYPE.csv`: a header line, then one row a line. */
export function readCsvTable(
  file: string,
  content: string,
): Result<TableFiles, CliError> {
  const type = basename(file, '.csv');
  if (!isRowType(type)) {
    const names = ROW_TYPES.map(name => `${name}.csv`).join(', ');
    return fault(file, 'the file name is no row type', `Name it ${names}.`);
  }
  const records = parseCsv(content);
  if (!records.ok) {
    const {line, problem} = records.val;
    return fault(`${file}:${line}`, problem, 'Write a quote as "" in quotes.');
  }
  const [header, ...lines] = records.val;
  const columns = header?.fields.map(field => field.trim()) ?? [];
  if (!columns.includes('name')) {
    const hint = 'The first line names the columns, separated by commas.';
    return fault(`${file}:1`, 'column "name" is missing', hint);
  }
  const twice = columns.find((name, i) => columns.indexOf(name) !== i);
  if (twice !== undefined) {
    const hint = 'Remove one of the two columns.';
    return fault(`${file}:1`, `column "${twice}" is there twice`, hint);
  }
  const rows: LocatedProposal[] = [];
  for (const record of lines) {
    const location = `${file}:${record.line}`;
    const proposal = readRecord(type, columns, record, location);
    if (!proposal.ok) return proposal;
    rows.push(proposal.val);
  }
  return Ok({types: [type], rows});
}

function readRecord(
  type: string,
  columns: string[],
  {fields}: CsvRecord,
  location: string,
): Result<LocatedProposal, CliError> {
  if (fields.length !== columns.length) {
    const what = `${fields.length} fields instead of ${columns.length}`;
    return fault(location, what, 'Put fields that contain commas in quotes.');
  }
  const cells = columns.map((column, i) => [column, fields[i] ?? ''] as const);
  const {
    name = '',
    [ROW_VERSION_COLUMN]: version = '',
    ...values
  } = Object.fromEntries(cells);
  const base = version.trim() === '' ? undefined : Number(version);
  if (base !== undefined && !Number.isInteger(base)) {
    const what = `column ${ROW_VERSION_COLUMN}: "${version}" is not a whole number`;
    return fault(location, what, 'Keep it as exported, or empty the cell.');
  }
  return Ok({type, name: name.trim(), base, values, source: 'text', location});
}

function fault(
  where: string,
  what: string,
  hint: string,
): Result<never, CliError> {
  return Err({exit: 'invalid', what, where, hint});
}
