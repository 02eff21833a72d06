/** Weight of the newest request. */
const ALPHA = 0.05;

/** Mean time from first token to the end of an answer, by class. */
export interface DecodeTimes {
  observe(className: string, ms: number): void;
  /** 0 before the first observation. */
  mean(className: string): number;
}

/** Creates means without observations. */
export function createDecodeTimes(): DecodeTimes {
  const means = new Map<string, number>();
  return {
    observe: (className, ms) => {
      const mean = means.get(className) ?? ms;
      means.set(className, mean + ALPHA * (ms - mean));
    },
    mean: className => means.get(className) ?? 0,
  };
}
