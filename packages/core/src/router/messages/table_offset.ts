/** Reports how far the sender has read the table stream. */
export interface TableOffset {
  kind: 'table_offset';
  /** Offset of the next record the sender expects. */
  next: number;
  /** Query that the receiver answers with its offset; 0 if none. */
  ask: number;
  /** Query that this message answers; 0 if none. */
  answers: number;
}
