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

/** Reads `TYPE.csv`: a header line, then one row per record. */
export function readCsvTable(
  file: string,
  content: string,
): Result<TableFiles, CliError> {
  const type = basename(file, '.csv');
  if (!isRowType(type)) {
    const names = ROW_TYPES.map(name => `${name}.csv`).join(', ');
    return invalidFile(
      file,
      'the file name is not a row type',
      `Name it ${names}.`,
    );
  }
  const records = parseCsv(content);
  if (!records.ok) {
    const {line, problem} = records.val;
    return invalidFile(
      `${file}:${line}`,
      problem,
      'Quote the field and write each quote in it as "".',
    );
  }
  const [header, ...dataRecords] = records.val;
  const columns = header?.fields.map(field => field.trim()) ?? [];
  if (!columns.includes('name')) {
    const hint = 'The first line names the columns, separated by commas.';
    return invalidFile(`${file}:1`, 'column "name" is missing', hint);
  }
  const duplicate = columns.find((name, i) => columns.indexOf(name) !== i);
  if (duplicate !== undefined) {
    const hint = 'Remove one of the two columns.';
    return invalidFile(`${file}:1`, `duplicate column "${duplicate}"`, hint);
  }
  const rows: LocatedProposal[] = [];
  for (const record of dataRecords) {
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
    const message = `${fields.length} fields instead of ${columns.length}`;
    return invalidFile(
      location,
      message,
      'Put fields that contain commas in quotes.',
    );
  }
  const cells = columns.map((column, i) => [column, fields[i] ?? ''] as const);
  const {
    name = '',
    [ROW_VERSION_COLUMN]: version = '',
    ...values
  } = Object.fromEntries(cells);
  const base = version.trim() === '' ? undefined : Number(version);
  if (base !== undefined && !Number.isInteger(base)) {
    const message = `column ${ROW_VERSION_COLUMN}: "${version}" is not a whole number`;
    return invalidFile(
      location,
      message,
      'Keep it as exported, or empty the cell.',
    );
  }
  return Ok({type, name: name.trim(), base, values, source: 'text', location});
}

function invalidFile(
  location: string,
  message: string,
  hint: string,
): Result<never, CliError> {
  return Err({exit: 'invalid', message, location, hint});
}
