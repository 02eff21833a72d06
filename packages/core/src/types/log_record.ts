/** One record of a log stream. */
export interface LogRecord {
  offset: number;
  /** JSON text. */
  data: string;
}
