/** The timer; due work is handled before every other event as well. */
export interface Tick {
  kind: 'tick';
}
