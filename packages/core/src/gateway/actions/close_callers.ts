/** Callers are told to leave: each answer ends its connection from now on. */
export interface CloseCallers {
  kind: 'close_callers';
  /** Also closes connections on which no request is open. */
  idleToo: boolean;
}
