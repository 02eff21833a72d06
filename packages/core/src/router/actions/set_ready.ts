/** Changes what the readiness probe answers. */
export interface SetReady {
  kind: 'set_ready';
  ready: boolean;
  /** Why not, or what is in doubt, for the person who reads the probe. */
  reason: string;
}
