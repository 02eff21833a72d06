/** Acquires the lease; the record's offset is the fencing token. */
export interface AcquireRecord {
  type: 'acquire';
  /** Unique to this append, so that its author recognizes the record. */
  id: string;
  holder: string;
  /** Offset of the newest record that the author had read; -1 if none. */
  base: number;
  /** Duration of the lease by the holder's clock. */
  durationMs: number;
}
