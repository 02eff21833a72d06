/** Asks a peer for what it holds of the table beyond an offset. */
export interface TablePull {
  kind: 'table_pull';
  /** Offset of the next record the sender expects. */
  next: number;
}
