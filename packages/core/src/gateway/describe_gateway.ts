import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {EndpointPauses} from '../endpoint_hints/endpoint_pauses.js';
import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {WorkIndex} from '../fleet/work_index.js';
import type {RetryBudget} from '../forwarding/retry_budget.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EndpointSelection} from '../spread/endpoint_selection.js';
import type {WarmUp} from '../warm_up/warm_up.js';
import type {EndpointStatus} from './endpoint_status.js';
import type {GatewayStatus} from './gateway_status.js';
import type {MemberStatus} from './member_status.js';

/** Parts of a gateway whose state is reported. */
export interface GatewayStatusParts {
  address: string;
  configuration: PublishedConfiguration;
  registry: EndpointRegistry;
  drains: Pick<DrainWatch, 'list'>;
  health: EndpointHealth;
  pauses: EndpointPauses;
  limits: EndpointLimits;
  warmUp: WarmUp;
  members: FleetMembers;
  workIndex: WorkIndex;
  selection: EndpointSelection;
  retryBudget: RetryBudget;
  quarantine: Pick<Quarantine, 'entries' | 'suspects'>;
  stage(): string;
  inFlight(): number;
  storeReachable(): boolean;
  knowledgeAgeMs(nowMs: number): number;
}

/** Collects the status of a gateway at a time of the steady clock. */
export function describeGateway(
  parts: GatewayStatusParts,
  nowMs: number,
): GatewayStatus {
  const {configuration, members, retryBudget, quarantine} = parts;
  const ageMs = parts.knowledgeAgeMs(nowMs);
  const gateways = members.knownCount();
  const services = configuration.current()?.services ?? [];
  return {
    address: parts.address,
    stage: parts.stage(),
    configurationVersion: configuration.version(),
    knowledgeAgeMs: ageMs === Infinity ? -1 : Math.round(ageMs),
    storeReachable: parts.storeReachable(),
    inFlight: parts.inFlight(),
    drainedDomains: parts.drains.list() ?? [],
    members: memberStatuses(members, nowMs),
    endpoints: endpointStatuses(parts, nowMs),
    quarantine: quarantine.entries(),
    suspectedCauses: quarantine.suspects(nowMs),
    repeatsLeft: Object.fromEntries(
      services.map(({name}) => [
        name,
        Math.floor(retryBudget.remaining(nowMs, name, gateways)),
      ]),
    ),
  };
}

function memberStatuses(members: FleetMembers, nowMs: number): MemberStatus[] {
  const alive = new Set(members.alive(nowMs));
  return [...members.all()].map(member => ({
    address: member.address,
    failureDomain: member.failureDomain,
    alive: alive.has(member),
    silentMs:
      member.lastHeardMs === undefined
        ? -1
        : Math.round(nowMs - member.lastHeardMs),
    storeReachable: member.storeReachable,
    draining: member.draining,
  }));
}

function endpointStatuses(
  parts: GatewayStatusParts,
  nowMs: number,
): EndpointStatus[] {
  const {registry, health, pauses, limits, workIndex, selection} = parts;
  return registry.entries().map(entry => {
    const {id, service, address, failureDomain} = entry;
    const {failures, lastFailure, ejectedUntilMs, slowdown} = health.record(id);
    return {
      id,
      service,
      address,
      failureDomain,
      standing: registry.get(id)?.state ?? 'gone',
      asideMs: Math.max(0, Math.round(ejectedUntilMs - nowMs)),
      pausedMs: Math.max(0, Math.round(pauses.endMs(entry) - nowMs)),
      coldMs: Math.round(parts.warmUp.remainingMs(nowMs, entry)),
      limitPerS: limits.limitOf(entry) ?? -1,
      failures,
      lastFailure,
      pace: Math.round(slowdown * 100) / 100,
      inFlight: [...workIndex.onEndpoint(id)].length,
      readingMs: Math.round(selection.activePrefillMs(service, id)),
    };
  });
}
