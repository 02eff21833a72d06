import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {NamedLimit} from '../endpoint_limits/named_limit.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {EndpointLeaving} from '../fleet/messages/endpoint_leaving.js';
import type {EndpointLimit} from '../fleet/messages/endpoint_limit.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EndpointHints} from './endpoint_hints.js';
import type {EndpointPauses} from './endpoint_pauses.js';

/** Follows what endpoints say about themselves in their answers. */
export interface HintHandler extends GatewayFeature {
  /** @param endpoint the start of the endpoint that sent the answer */
  apply(
    ctx: GatewayContext,
    endpoint: EndpointEntry,
    hints: EndpointHints,
  ): void;
}

/** Dependencies of the hint handler. */
export interface HintHandlerParts {
  registry: EndpointRegistry;
  pauses: EndpointPauses;
  limits: EndpointLimits;
  members: FleetMembers;
  /** The usable endpoints changed. */
  endpointsChanged(ctx: GatewayContext): void;
}

/**
 * Creates the hint handler. An endpoint that leaves gets no new work from this
 * gateway or its peers, and a limit holds for all gateways together; a pause
 * binds only the gateway that was asked.
 */
export function createHintHandler(parts: HintHandlerParts): HintHandler {
  const {registry, pauses, limits, members} = parts;

  function apply(
    ctx: GatewayContext,
    endpoint: EndpointEntry,
    {leaving, pauseMs, limit}: EndpointHints,
  ): void {
    limitNamed(ctx, endpoint, limit);
    if (pauseMs !== undefined && pauseMs > 0) pause(ctx, endpoint, pauseMs);
    if (!leaving) return;
    const {id, startedAtMs} = endpoint;
    if (!markLeaving(ctx, id, startedAtMs, 'answer')) return;
    count(ctx, 'leaving');
    tellPeers(ctx, {kind: 'endpoint_leaving', endpoint: id, startedAtMs});
  }

  function limitNamed(
    ctx: GatewayContext,
    endpoint: EndpointEntry,
    limit: NamedLimit,
  ): void {
    if (limit === 'unknown') return;
    if (!recordLimit(ctx, endpoint, limit, 'answer')) return;
    count(ctx, 'limit');
    const {id, startedAtMs} = endpoint;
    const kind = 'endpoint_limit';
    tellPeers(ctx, {kind, endpoint: id, startedAtMs, limit});
  }

  function recordLimit(
    ctx: GatewayContext,
    endpoint: EndpointEntry,
    limit: NamedLimit,
    source: 'answer' | 'peer',
  ): boolean {
    const before = limits.limitOf(endpoint) ?? 'none';
    if (!limits.record(endpoint, limit)) return false;
    const fields = {endpoint: endpoint.id, limit, before, source};
    ctx.emit({kind: 'write_log', event: 'WL8204', fields});
    return true;
  }

  function limitHeard(ctx: GatewayContext, message: EndpointLimit): void {
    const entry = registry.get(message.endpoint)?.entry;
    // Another start of the endpoint, or one that is not known here.
    if (entry?.startedAtMs !== message.startedAtMs) return;
    recordLimit(ctx, entry, message.limit, 'peer');
  }

  function pause(
    ctx: GatewayContext,
    endpoint: EndpointEntry,
    askedMs: number,
  ): void {
    const pauseMs = Math.round(pauses.record(ctx.nowMs, endpoint, askedMs));
    const fields = {endpoint: endpoint.id, pauseMs};
    ctx.emit({kind: 'write_log', event: 'WL8203', fields});
    count(ctx, 'pause');
  }

  function markLeaving(
    ctx: GatewayContext,
    endpoint: string,
    startedAtMs: number,
    source: 'answer' | 'peer',
  ): boolean {
    if (!registry.markLeaving(ctx.nowMs, endpoint, startedAtMs)) return false;
    const fields = {endpoint, source};
    ctx.emit({kind: 'write_log', event: 'WL8202', fields});
    parts.endpointsChanged(ctx);
    return true;
  }

  function tellPeers(
    ctx: GatewayContext,
    message: EndpointLeaving | EndpointLimit,
  ): void {
    const to = members.aliveAddresses(ctx.nowMs);
    if (to.length > 0) ctx.emit({kind: 'send_peers', to, message});
  }

  return {
    apply,
    handlers: {
      peer_received: (ctx, {message}) => {
        if (message.kind === 'endpoint_limit') limitHeard(ctx, message);
        if (message.kind !== 'endpoint_leaving') return;
        markLeaving(ctx, message.endpoint, message.startedAtMs, 'peer');
      },
    },
  };
}

function count(ctx: GatewayContext, hint: 'leaving' | 'limit' | 'pause'): void {
  const metric = 'endpoint_hints_total';
  ctx.emit({kind: 'observe', metric, labels: {hint}, value: 1});
}
