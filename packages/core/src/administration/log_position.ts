/** How far a process has read the table stream. */
export interface LogPosition {
  /** Offset of the next record expected. */
  offset: number;
  /** Records known to be on the log but not read yet. */
  lag: number;
  /** Whether the last read succeeded. */
  logReachable: boolean;
  loaded: boolean;
}
