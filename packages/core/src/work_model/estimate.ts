/** A learned quantity with its uncertainty. */
export interface Estimate {
  mean: number;
  /** Variance of single observations, not of the mean. */
  variance: number;
  /** Number of observations that it stands for, bounded. */
  weight: number;
}
