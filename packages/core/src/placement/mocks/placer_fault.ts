/**
 * Kind of a fault. `pause`: a placer does not run. `crash`: a placer loses
 * its state and starts again under a new name. `outage`: the log fails appends
 * and reads. `cut`: one placer reaches neither log nor engines.
 * `lost_answers`: appends take effect without an answer. `slow`: messages
 * from and to one placer arrive late. `restart`: an engine loses its models.
 * `stop`: a placer stops gracefully and starts again.
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

/** One fault of a schedule. */
export interface PlacerFault {
  kind: PlacerFaultKind;
  /** Index of the placer or engine. */
  target: number;
  fromMs: number;
  forMs: number;
}
