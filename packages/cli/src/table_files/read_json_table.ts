import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {z} from 'zod';
import type {CliError} from '../cli_error.js';
import type {LocatedProposal} from './located_proposal.js';
import type {TableFiles} from './table_files.js';

const TABLE_FILE = z.object({
  rows: z.array(
    z.object({
      type: z.string(),
      name: z.string(),
      version: z.number().int().nonnegative().optional(),
      values: z.record(z.string(), z.unknown()),
    }),
  ),
});

/** Reads the JSON that `wlctl table show --json` writes. */
export function readJsonTable(
  file: string,
  content: string,
): Result<TableFiles, CliError> {
  let value: unknown;
  try {
    value = JSON.parse(content);
  } catch (err) {
    return invalidFile(file, `is not JSON (${(err as Error).message})`);
  }
  const parsed = TABLE_FILE.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return invalidFile(
      file,
      `${issue?.path.join('.') ?? ''}: ${issue?.message}`,
    );
  }
  const rows = parsed.data.rows.map(
    ({type, name, version, values}, index): LocatedProposal => ({
      type,
      name,
      base: version,
      values,
      source: 'json',
      location: `${file} row ${index + 1}`,
    }),
  );
  return Ok({types: [...new Set(rows.map(({type}) => type))], rows});
}

function invalidFile(
  location: string,
  message: string,
): Result<never, CliError> {
  const hint = 'Use the format that "wlctl table show --json" writes.';
  return Err({exit: 'invalid', message, location, hint});
}
