/** The timer; due work is judged before every other event as well. */
export interface Tick {
  kind: 'tick';
}
