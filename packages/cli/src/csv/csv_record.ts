/** One record of a CSV file. */
export interface CsvRecord {
  /** Line on which the record starts, from 1. */
  line: number;
  fields: string[];
}
