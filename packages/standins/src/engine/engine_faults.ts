/** Injected faults, set through `POST /control`. */
export interface EngineFaults {
  /** Probability that a request is accepted and never answered. */
  neverAnswer: number;
  /** Number of parts after which the connection breaks; -1 disables. */
  dieAfterParts: number;
  /** Multiplies every simulated cost. */
  slowFactor: number;
  leaving: boolean;
  /** Probability that a stream gets the answer of the previous one. */
  crossAnswers: number;
}

/** All faults disabled. */
export function noEngineFaults(): EngineFaults {
  return {
    neverAnswer: 0,
    dieAfterParts: -1,
    slowFactor: 1,
    leaving: false,
    crossAnswers: 0,
  };
}
