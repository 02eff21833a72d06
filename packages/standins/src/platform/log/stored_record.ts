/** A log record and the time of its append. */
export interface StoredRecord {
  data: string;
  appendedMs: number;
}
