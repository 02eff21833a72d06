/** Takes the lease; its offset is the fencing token. */
export interface AcquireRecord {
  type: 'acquire';
  /** Unique to this append, so that its author recognises it. */
  id: string;
  holder: string;
  /** Offset of the newest record that the author had read; -1 for none. */
  base: number;
  /** How long the lease lasts by the holder's clock. */
  durationMs: number;
}
