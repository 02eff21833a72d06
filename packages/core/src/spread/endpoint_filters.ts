import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {EndpointPauses} from '../endpoint_hints/endpoint_pauses.js';
import type {LimitRoom} from '../endpoint_limits/limit_room.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {ChoiceRequest} from './choice_request.js';

/** Which endpoints of a service take requests now, health left aside. */
export interface EndpointFilters {
  /** Registered endpoints outside of drained failure domains. */
  undrained(service: string): EndpointEntry[];
  /** Those of them that did not ask for a pause. */
  unpaused(nowMs: number, service: string): EndpointEntry[];
  /** Those of them with capacity left under their limits. */
  available(nowMs: number, service: string): EndpointEntry[];
  /**
   * Time at which an endpoint of a service takes a request again, as pauses
   * and limits leave it; undefined if one takes it now, or if there is none.
   * @param ahead requests of this gateway that wait for the same
   */
  closedUntilMs(
    nowMs: number,
    service: string,
    ahead: number,
  ): number | undefined;
  /** Whether drains leave too few endpoints to ever serve a request. */
  drainsExclude(service: string, req: ChoiceRequest): boolean;
}

/** Dependencies of the filters. */
export interface EndpointFilterParts {
  configuration: PublishedConfiguration;
  registry: EndpointRegistry;
  drains: Pick<DrainWatch, 'has'>;
  pauses: EndpointPauses;
  limitRoom: LimitRoom;
}

/** Creates the filters of a gateway. */
export function createEndpointFilters(
  parts: EndpointFilterParts,
): EndpointFilters {
  const {configuration, registry, drains, pauses, limitRoom} = parts;

  function undrained(service: string): EndpointEntry[] {
    return registry
      .usable(service)
      .filter(({failureDomain}) => !drains.has(failureDomain));
  }

  function unpaused(nowMs: number, service: string): EndpointEntry[] {
    return undrained(service).filter(entry => !pauses.isPaused(entry, nowMs));
  }

  function available(nowMs: number, service: string): EndpointEntry[] {
    return unpaused(nowMs, service).filter(entry =>
      limitRoom.hasRoom(nowMs, entry),
    );
  }

  function closedUntilMs(
    nowMs: number,
    service: string,
    ahead: number,
  ): number | undefined {
    const entries = undrained(service);
    if (entries.length === 0) return undefined;
    if (available(nowMs, service).length > 0) return undefined;
    const firstMs = Math.min(...entries.map(entry => openMs(nowMs, entry)));
    const queuedMs = nowMs + limitRoom.waitMs(nowMs, entries, ahead);
    return Math.max(firstMs, queuedMs);
  }

  /** Steady clock; when an endpoint takes one more request. */
  function openMs(nowMs: number, entry: EndpointEntry): number {
    return Math.max(pauses.endMs(entry), limitRoom.freeSinceMs(nowMs, entry));
  }

  function drainsExclude(
    service: string,
    {promptTokens, outputTokens}: ChoiceRequest,
  ): boolean {
    const left = undrained(service).length;
    if (left === registry.usable(service).length) return false;
    const memoryTokens = configuration.service(service)?.engine?.memoryTokens;
    const tokens = promptTokens + outputTokens;
    return left === 0 || tokens > left * (memoryTokens ?? Infinity);
  }

  return {undrained, unpaused, available, closedUntilMs, drainsExclude};
}
