/** A cause that an engine answered, so that it is sound. */
export interface ProvenCause {
  cause: string;
  /** Time since then, in milliseconds. */
  ageMs: number;
}
