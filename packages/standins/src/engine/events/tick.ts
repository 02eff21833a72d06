/** The timer. */
export interface Tick {
  kind: 'tick';
}
