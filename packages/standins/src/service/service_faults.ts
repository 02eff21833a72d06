/** Injected faults, set through `POST /control`. */
export interface ServiceFaults {
  /** Probability that a call is executed and never answered. */
  neverAnswer: number;
  /** Probability that the connection is closed after the execution. */
  dropAnswer: number;
  /** Multiplies the latency. */
  slowFactor: number;
  leaving: boolean;
}
