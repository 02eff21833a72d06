/** From now on, the connection of a caller is closed after its answer. */
export interface CloseCallers {
  kind: 'close_callers';
  /** Whether connections without an open request are closed too. */
  idleToo: boolean;
}
