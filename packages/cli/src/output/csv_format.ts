import {formatCsv} from '../csv/format_csv.js';
import {OutputFormat} from './output_format.js';
import type {Report} from './report.js';

/** Writes the rows as CSV, for spreadsheets. */
export class CsvFormat extends OutputFormat {
  override render({columns, rows}: Report): string {
    return formatCsv([columns, ...rows.map(row => row.map(String))]);
  }
}
