/** Slowest body that is read to its end. */
export interface BodyRate {
  minBytesPerS: number;
  /** The rate is measured over windows of this length. */
  windowMs: number;
}
