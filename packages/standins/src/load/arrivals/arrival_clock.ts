import type {RandomSource} from '@wisterialadder/core/types/random_source.js';
import type {Mix} from '../mix/mix.js';

/** Poisson arrivals whose rate follows the bursts of the mix. */
export interface ArrivalClock {
  /** Number of arrivals up to a time since the start of the run. */
  due(elapsedMs: number, random: RandomSource): number;
}

/** Creates the clock of a run. */
export function createArrivalClock(mix: Mix): ArrivalClock {
  const {burst, requestsPerSecond} = mix;
  const peakPerMs = (requestsPerSecond * (burst?.factor ?? 1)) / 1_000;
  let nextMs: number | undefined;

  function acceptance(atMs: number): number {
    if (!burst) return 1;
    return atMs % burst.periodMs < burst.lengthMs ? 1 : 1 / burst.factor;
  }

  return {
    // Thinning: draw at the peak rate and keep the share of the moment.
    due: (elapsedMs, random) => {
      let count = 0;
      const gapMs = (): number => -Math.log(1 - random()) / peakPerMs;
      nextMs ??= gapMs();
      while (nextMs <= elapsedMs) {
        if (random() < acceptance(nextMs)) count += 1;
        nextMs += gapMs();
      }
      return count;
    },
  };
}
