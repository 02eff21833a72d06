/** Changes the answer of the readiness probe. */
export interface SetReady {
  kind: 'set_ready';
  ready: boolean;
  /** Why not ready, or why the table may be outdated; for operators. */
  reason: string;
}
