import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import {
  createDrainWatch,
  type DrainWatch,
} from '../domain_drain/drain_watch.js';
import {
  createEndpointHealth,
  type EndpointHealth,
} from '../endpoint_health/endpoint_health.js';
import {
  createEndpointPauses,
  type EndpointPauses,
} from '../endpoint_hints/endpoint_pauses.js';
import {
  createEndpointLimits,
  type EndpointLimits,
} from '../endpoint_limits/endpoint_limits.js';
import {
  createEndpointRegistry,
  type EndpointRegistry,
} from '../registry/endpoint_registry.js';
import {createWarmUp, type WarmUp} from '../warm_up/warm_up.js';
import {
  createWarmUpReport,
  type WarmUpReport,
} from '../warm_up/warm_up_report.js';
import type {GatewayContext} from './gateway_context.js';

/** What a gateway knows of the endpoints, apart from work on them. */
export interface EndpointViews {
  registry: EndpointRegistry;
  drains: DrainWatch;
  health: EndpointHealth;
  pauses: EndpointPauses;
  limits: EndpointLimits;
  warmUp: WarmUp;
  warmUpReport: WarmUpReport;
  /** Drops what is known of endpoints that are not registered any more. */
  retainRegistered(ctx: GatewayContext): void;
}

/** Creates the views of a gateway that knows no endpoint. */
export function createEndpointViews(
  configuration: PublishedConfiguration,
): EndpointViews {
  const registry = createEndpointRegistry();
  const health = createEndpointHealth();
  const pauses = createEndpointPauses();
  const limits = createEndpointLimits();
  const warmUp = createWarmUp(configuration, registry);
  const warmUpReport = createWarmUpReport(warmUp, registry);

  function retainRegistered(ctx: GatewayContext): void {
    const entries = registry.entries();
    const endpoints = entries.map(({id}) => id);
    health.retain(entries);
    pauses.retain(new Set(endpoints));
    limits.retain(new Set(endpoints));
    warmUpReport.changed();
    ctx.emit({kind: 'keep_endpoints', endpoints});
  }

  const drains = createDrainWatch();
  const views = {registry, drains, health, pauses, limits, warmUp};
  return {...views, warmUpReport, retainRegistered};
}
