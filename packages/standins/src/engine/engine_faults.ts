/** Faults that a test switches on; see `POST /control`. */
export interface EngineFaults {
  /** Probability that a request is accepted and never answered. */
  neverAnswer: number;
  /** The connection ends after this number of parts; -1 is off. */
  dieAfterParts: number;
  /** Factor on every simulated cost. */
  slowFactor: number;
  leaving: boolean;
  /** Probability that a stream gets the answer of the one before it. */
  crossAnswers: number;
}

/** No faults. */
export function noEngineFaults(): EngineFaults {
  return {
    neverAnswer: 0,
    dieAfterParts: -1,
    slowFactor: 1,
    leaving: false,
    crossAnswers: 0,
  };
}
