import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {PrefillObservation} from '../endpoints/prefill_observation.js';

/** Assumed before anything was observed, in tokens per millisecond. */
const DEFAULT_RATE = 20;
/** Weight of the default rate, which fades with observations. */
const DEFAULT_WORK = 50_000;
/** Weight of the service's rate in that of an endpoint. */
const SERVICE_WORK = 20_000;
/** Share of the older sums that each observation keeps. */
const KEEP = 0.95;
/** An attempt that queued behind unseen work says little about the rate. */
const MAX_RATIO = 4;

/** Prefill rates learned from the times to first token. */
export interface PrefillRates {
  /** Notes that `work` took `ms` although `expectedMs` were expected. */
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
    const used = Math.max(1, Math.min(ms, expectedMs * MAX_RATIO));
    add(seenOf(view.row.service), work, used);
    add(view.observedPrefill, work, used);
  }

  function seenOf(service: string): PrefillObservation {
    const known = services.get(service);
    if (known) return known;
    const seen = {work: DEFAULT_WORK, ms: DEFAULT_WORK / DEFAULT_RATE};
    services.set(service, seen);
    return seen;
  }

  function serviceRate(service: string): number | undefined {
    const seen = services.get(service);
    return seen && seen.work / seen.ms;
  }

  function rate({row, observedPrefill}: EndpointView): number {
    const prior = serviceRate(row.service) ?? DEFAULT_RATE;
    const ms = observedPrefill.ms + SERVICE_WORK / prior;
    return (observedPrefill.work + SERVICE_WORK) / ms;
  }

  return {observe, rate};
}

function add(seen: PrefillObservation, work: number, ms: number): void {
  seen.work = seen.work * KEEP + work;
  seen.ms = seen.ms * KEEP + ms;
}
