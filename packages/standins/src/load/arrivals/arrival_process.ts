import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import type {Mix} from '../mix/mix.js';

/** Poisson process whose rate follows the bursts of the mix. */
export interface ArrivalProcess {
  /** Arrivals since the previous call, up to `elapsedMs` into the load. */
  countUntil(elapsedMs: number, random: RandomSource): number;
}

/** Creates the arrival process of a run. */
export function createArrivalProcess(mix: Mix): ArrivalProcess {
  const {burst, requestsPerSecond} = mix;
  const peakPerMs = (requestsPerSecond * (burst?.factor ?? 1)) / 1_000;
  let nextMs: number | undefined;

  function acceptanceProbability(atMs: number): number {
    if (!burst) return 1;
    return atMs % burst.periodMs < burst.lengthMs ? 1 : 1 / burst.factor;
  }

  return {
    // Thinning: draws arrivals at the peak rate and rejects the excess.
    countUntil: (elapsedMs, random) => {
      let count = 0;
      const gapMs = (): number => -Math.log(1 - random()) / peakPerMs;
      nextMs ??= gapMs();
      while (nextMs <= elapsedMs) {
        if (random() < acceptanceProbability(nextMs)) count += 1;
        nextMs += gapMs();
      }
      return count;
    },
  };
}
