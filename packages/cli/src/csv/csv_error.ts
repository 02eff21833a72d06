/** Syntax error in CSV text. */
export interface CsvError {
  /** Line in the file, from 1. */
  line: number;
  problem: string;
}
