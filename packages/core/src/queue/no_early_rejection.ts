import type {EarlyRejection} from './early_rejection.js';

/** Rejects nothing early; goes with the baselines. */
export function createNoEarlyRejection(): EarlyRejection {
  return {
    onArrival: () => undefined,
    onStart: () => undefined,
    sweep: () => undefined,
  };
}
