/** Sums over observed prefills; older ones fade. */
export interface PrefillObservation {
  /** Work in linear token equivalents. */
  work: number;
  ms: number;
}
