import {readdirSync, readFileSync, statSync} from 'node:fs';
import {extname, join} from 'node:path';
import {ROW_TYPES} from '@wisterialadder/core/administration/columns/row_type.js';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {CliError} from '../cli_error.js';
import {readCsvTable} from './read_csv_table.js';
import {readJsonTable} from './read_json_table.js';
import type {TableFiles} from './table_files.js';

/** Reads table files; a folder stands for the `TYPE.csv` files in it. */
export function readTableFiles(
  paths: readonly string[],
): Result<TableFiles, CliError> {
  const files: TableFiles = {types: [], rows: []};
  for (const path of paths) {
    const read = readPath(path);
    if (!read.ok) return read;
    files.types.push(...read.val.types);
    files.rows.push(...read.val.rows);
  }
  return Ok(files);
}

function readPath(path: string): Result<TableFiles, CliError> {
  try {
    if (statSync(path).isDirectory()) return readFolder(path);
    const content = readFileSync(path, 'utf8');
    if (extname(path) === '.json') return readJsonTable(path, content);
    return readCsvTable(path, content);
  } catch (err) {
    const message = `cannot be read (${(err as Error).message})`;
    const hint = 'Give CSV or JSON files, or a folder of CSV files.';
    return Err({exit: 'not_found', message, location: path, hint});
  }
}

function readFolder(folder: string): Result<TableFiles, CliError> {
  const present = new Set(readdirSync(folder));
  const files = ROW_TYPES.map(type => `${type}.csv`).filter(name =>
    present.has(name),
  );
  if (files.length > 0) {
    return readTableFiles(files.map(name => join(folder, name)));
  }
  const message = 'contains no table file';
  const hint = `Expected ${ROW_TYPES.map(type => `${type}.csv`).join(', ')}.`;
  return Err({exit: 'not_found', message, location: folder, hint});
}
