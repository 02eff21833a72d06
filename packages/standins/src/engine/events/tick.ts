/** Periodic timer event. */
export interface Tick {
  kind: 'tick';
}
