/** Requests the records or the state of the table from an offset on. */
export interface TablePull {
  kind: 'table_pull';
  /** Offset of the next record the sender expects. */
  next: number;
}
