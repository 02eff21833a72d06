/** Why CSV text cannot be read. */
export interface CsvError {
  /** Line in the file, from 1. */
  line: number;
  problem: string;
}
