/** Sums over observed prefills, with decaying weight of older ones. */
export interface PrefillObservation {
  /** Work in linear token equivalents. */
  work: number;
  ms: number;
}
