/** Sums over observed prefills; older ones fade. */
export interface PrefillSeen {
  /** Work in linear token equivalents. */
  work: number;
  ms: number;
}
