import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {PrefillObservation} from '../endpoints/prefill_observation.js';

/** Rate before the first observation, in tokens per millisecond. */
const DEFAULT_RATE = 20;
/** Weight of the default rate, which decays with observations. */
const DEFAULT_WORK = 50_000;
/** Weight of the service's rate in the rate of an endpoint. */
const SERVICE_WORK = 20_000;
/** Factor on the older sums at each observation. */
const DECAY = 0.95;
/**
 * Limit on the ratio of observed to expected time: an attempt that queued
 * behind unknown work says little about the rate.
 */
const MAX_TIME_RATIO = 4;

/** Prefill rates learned from the times to first token. */
export interface PrefillRates {
  /** Records that `work` took `ms` where `expectedMs` were expected. */
  observe(
    view: EndpointView,
    work: number,
    ms: number,
    expectedMs: number,
  ): void;
  /** Work per millisecond of one endpoint. */
  rate(view: EndpointView): number;
}

/** Creates rates without observations. */
export function createPrefillRates(): PrefillRates {
  const services = new Map<string, PrefillObservation>();

  function observe(
    view: EndpointView,
    work: number,
    ms: number,
    expectedMs: number,
  ): void {
    const countedMs = Math.max(1, Math.min(ms, expectedMs * MAX_TIME_RATIO));
    add(observationOf(view.row.service), work, countedMs);
    add(view.observedPrefill, work, countedMs);
  }

  function observationOf(service: string): PrefillObservation {
    const known = services.get(service);
    if (known) return known;
    const observation = {work: DEFAULT_WORK, ms: DEFAULT_WORK / DEFAULT_RATE};
    services.set(service, observation);
    return observation;
  }

  function serviceRate(service: string): number | undefined {
    const observation = services.get(service);
    return observation && observation.work / observation.ms;
  }

  function rate({row, observedPrefill}: EndpointView): number {
    const prior = serviceRate(row.service) ?? DEFAULT_RATE;
    const ms = observedPrefill.ms + SERVICE_WORK / prior;
    return (observedPrefill.work + SERVICE_WORK) / ms;
  }

  return {observe, rate};
}

function add(observation: PrefillObservation, work: number, ms: number): void {
  observation.work = observation.work * DECAY + work;
  observation.ms = observation.ms * DECAY + ms;
}
