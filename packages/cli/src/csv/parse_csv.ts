import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {CsvError} from './csv_error.js';
import type {CsvRecord} from './csv_record.js';

const BYTE_ORDER_MARK = '\uFEFF';
/** A quoted or plain field and what ends it. */
const FIELD = /(?:"((?:[^"]|"")*)"|([^",\r\n]*))(,|\r\n|\n|\r|$)/y;

/**
 * Reads CSV as of RFC 4180, with the line ends and the byte order mark that
 * spreadsheets write. Empty lines are skipped.
 */
export function parseCsv(content: string): Result<CsvRecord[], CsvError> {
  const text = content.startsWith(BYTE_ORDER_MARK)
    ? content.slice(BYTE_ORDER_MARK.length)
    : content;
  const records: CsvRecord[] = [];
  let line = 1;
  let record: CsvRecord = {line, fields: []};
  let at = 0;
  while (at < text.length) {
    FIELD.lastIndex = at;
    const match = FIELD.exec(text);
    if (!match) return Err({line, problem: quoteProblem(text, at)});
    const [whole, quoted, plain = '', end] = match;
    record.fields.push(quoted?.replaceAll('""', '"') ?? plain);
    line += countLines(whole);
    at += whole.length;
    if (end === ',' && at < text.length) continue;
    if (end === ',') record.fields.push('');
    if (!isBlank(record, quoted)) records.push(record);
    record = {line, fields: []};
  }
  return Ok(records);
}

// A record of one empty quoted field is data, an empty line is not.
function isBlank(record: CsvRecord, quoted: string | undefined): boolean {
  const [only] = record.fields;
  return record.fields.length === 1 && only === '' && quoted === undefined;
}

function countLines(text: string): number {
  return text.match(/\r\n|\n|\r/g)?.length ?? 0;
}

function quoteProblem(text: string, at: number): string {
  return text[at] === '"'
    ? 'a quoted field is not closed or goes on after its closing quote'
    : 'a quote stands inside a field that is not quoted';
}
