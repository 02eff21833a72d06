/** Time passed. */
export interface Tick {
  kind: 'tick';
}
