/** Result of a command, independent of how it is written. */
export interface Report {
  columns: string[];
  rows: (string | number | boolean)[][];
  /** Lines above the rows in text output. */
  notes: string[];
  /** Value written by `--json`. */
  json: unknown;
}
