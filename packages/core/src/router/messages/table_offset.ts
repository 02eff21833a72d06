/** Tells a peer how far the sender has read the table stream. */
export interface TableOffset {
  kind: 'table_offset';
  /** Offset of the next record the sender expects. */
  next: number;
  /** The sender wants the receiver's offset, even if it is not larger. */
  ask: boolean;
}
