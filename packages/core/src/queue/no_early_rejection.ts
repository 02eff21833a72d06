import type {EarlyRejection} from './early_rejection.js';

/** Rejects nothing early; used with the baselines. */
export function createNoEarlyRejection(): EarlyRejection {
  return {
    checkArrival: () => undefined,
    checkStart: () => undefined,
    sweep: () => undefined,
  };
}
