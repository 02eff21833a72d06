import type {Objective} from '../types/objective.js';

const HALF_LIFE_MS = 120_000;
/** Work assumed before the first prompt, half of it of long prompts. */
const PRIOR_WORK = 200_000;
/** The target size must differ by this much before the subset changes. */
const HYSTERESIS_ENGINES = 0.75;
/**
 * Short prompts arrive in bursts, so they get their mean share of the engines
 * plus this many times its square root. With 0.5 and 1, they time out at 150%
 * of capacity.
 */
const BURST_FACTOR = 1.5;
/** Largest share of the engines for long prompts, by objective. */
const MAX_SHARE: Record<Objective, number> = {
  completion: 0.9,
  first_token: 0.8,
  short_slowdown: 0.65,
};

/** Sizes the subset of engines that long prompts may use. */
export interface LongShare {
  /** Records an admitted prompt. */
  record(
    service: string,
    work: number,
    long: boolean,
    objective: Objective,
    nowMs: number,
  ): void;
  /** Engines for long prompts out of `engines`; at least one. */
  subsetSize(service: string, engines: number): number;
}

interface ServiceWork {
  short: number;
  long: number;
  /** Work multiplied by the objective's largest share. */
  weighted: number;
  recordedMs: number;
  size: number;
}

/** Creates a share without recorded prompts. */
export function createLongShare(): LongShare {
  const services = new Map<string, ServiceWork>();

  function workOf(service: string): ServiceWork {
    const known = services.get(service);
    if (known) return known;
    const work: ServiceWork = {
      short: PRIOR_WORK / 2,
      long: PRIOR_WORK / 2,
      weighted: PRIOR_WORK * MAX_SHARE.first_token,
      recordedMs: 0,
      size: 0,
    };
    services.set(service, work);
    return work;
  }

  function record(
    service: string,
    work: number,
    long: boolean,
    objective: Objective,
    nowMs: number,
  ): void {
    const sums = workOf(service);
    const decay = 0.5 ** ((nowMs - sums.recordedMs) / HALF_LIFE_MS);
    sums.recordedMs = nowMs;
    sums.short = sums.short * decay + (long ? 0 : work);
    sums.long = sums.long * decay + (long ? work : 0);
    sums.weighted = sums.weighted * decay + work * MAX_SHARE[objective];
  }

  function subsetSize(service: string, engines: number): number {
    const sums = workOf(service);
    const total = sums.short + sums.long;
    const maxShare = total > 0 ? sums.weighted / total : MAX_SHARE.first_token;
    const shortShare = total > 0 ? sums.short / total : 0.5;
    const shortEngines = engines * shortShare;
    const spare =
      engines - shortEngines - BURST_FACTOR * Math.sqrt(shortEngines);
    const target = Math.min(engines * maxShare, spare);
    const maxSize = Math.max(1, engines - 1);
    const changed = Math.abs(target - sums.size) > HYSTERESIS_ENGINES;
    if (changed) sums.size = Math.round(target);
    return Math.min(maxSize, Math.max(1, sums.size));
  }

  return {record, subsetSize};
}
