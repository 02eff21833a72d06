/** Tells a peer how far the sender has read the table stream. */
export interface TableOffset {
  kind: 'table_offset';
  /** Offset of the next record the sender expects. */
  next: number;
}
