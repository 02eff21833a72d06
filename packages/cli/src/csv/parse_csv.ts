import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {CsvError} from './csv_error.js';
import type {CsvRecord} from './csv_record.js';

const BYTE_ORDER_MARK = '\uFEFF';
/** A quoted or plain field and the delimiter after it. */
const FIELD = /(?:"((?:[^"]|"")*)"|([^",\r\n]*))(,|\r\n|\n|\r|$)/y;

/**
 * Parses CSV according to RFC 4180; accepts any line ending and a byte order
 * mark, as spreadsheets write them. Skips empty lines.
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
    if (!match) return Err({line, problem: describeQuoteError(text, at)});
    const [whole, quoted, plain = '', delimiter] = match;
    record.fields.push(quoted?.replaceAll('""', '"') ?? plain);
    line += countLines(whole);
    at += whole.length;
    if (delimiter === ',' && at < text.length) continue;
    if (delimiter === ',') record.fields.push('');
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

function describeQuoteError(text: string, at: number): string {
  return text[at] === '"'
    ? 'a quoted field has no closing quote, or text after it'
    : 'quote inside an unquoted field';
}
