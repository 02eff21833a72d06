/**
 * A fault of a schedule. `pause`: a placer does not run. `crash`: a placer
 * loses its memory and starts again with a new name. `outage`: the log takes
 * and gives nothing. `cut`: one placer reaches neither log nor engines.
 * `lost_answers`: appends take effect without an answer. `slow`: messages
 * from and to one placer arrive late. `restart`: an engine loses its models. `stop`: a placer stops
 * gracefully and starts again.
 */
export type PlacerFaultKind =
  | 'crash'
  | 'cut'
  | 'lost_answers'
  | 'outage'
  | 'pause'
  | 'restart'
  | 'slow'
  | 'stop';

export interface PlacerFault {
  kind: PlacerFaultKind;
  /** Number of the placer or engine. */
  target: number;
  fromMs: number;
  forMs: number;
}
