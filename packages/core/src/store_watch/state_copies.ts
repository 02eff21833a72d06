import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {StateCopy} from '../fleet/messages/state_copy.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import {adoptConfiguration} from './adopt_configuration.js';
import {ageOf, type StorePositions} from './store_positions.js';

/** Pause between two requests for another gateway's copy. */
const PULL_INTERVAL_MS = 400;

/** Exchanges copies of configuration and registry between gateways. */
export interface StateCopies {
  /** Requests a peer's copy. */
  pull(ctx: GatewayContext, from: string): void;
  pullFromAny(ctx: GatewayContext): void;
  /** @param version of the configuration that the peer has */
  sendCopy(ctx: GatewayContext, to: string, version: number): void;
  copyReceived(ctx: GatewayContext, copy: StateCopy): void;
}

/** Dependencies of the exchange. */
export interface StateCopyParts {
  positions: StorePositions;
  members: FleetMembers;
  configuration: PublishedConfiguration;
  registry: EndpointRegistry;
  drains: DrainWatch;
  configurationChanged(ctx: GatewayContext): void;
  registryChanged(ctx: GatewayContext, changes: EntryChange[]): void;
}

/** Creates the exchange of copies. */
export function createStateCopies(parts: StateCopyParts): StateCopies {
  const {positions, members, configuration, registry, drains} = parts;
  let lastPullMs = Number.NEGATIVE_INFINITY;

  function pullFromAny(ctx: GatewayContext): void {
    const [peer] = members.alive(ctx.nowMs);
    if (peer) pull(ctx, peer.address);
  }

  function pull(ctx: GatewayContext, from: string): void {
    if (ctx.nowMs - lastPullMs < PULL_INTERVAL_MS) return;
    lastPullMs = ctx.nowMs;
    ctx.emit({
      kind: 'send_peers',
      to: [from],
      message: {
        kind: 'state_pull',
        configurationVersion: configuration.version(),
      },
    });
  }

  function sendCopy(ctx: GatewayContext, to: string, version: number): void {
    const {next: configurationOffset} = positions.configuration;
    const {next: registryOffset} = positions.registry;
    const current = configuration.current();
    if (
      !current ||
      configurationOffset === undefined ||
      registryOffset === undefined
    ) {
      return;
    }
    ctx.emit({
      kind: 'send_peers',
      to: [to],
      message: {
        kind: 'state_copy',
        configurationOffset,
        drainedDomains: drains.list(),
        configuration: current.version > version ? current : undefined,
        registryOffset,
        entries: registry.listing(ctx.nowMs),
        ageMs: ageOf(positions, ctx.nowMs),
      },
    });
  }

  function copyReceived(ctx: GatewayContext, copy: StateCopy): void {
    const {configuration: config, registry: entries} = positions;
    const freshMs = ctx.nowMs - copy.ageMs;
    const {configuration: next} = copy;
    if (next && adoptConfiguration(ctx, configuration, next, 'peer')) {
      parts.configurationChanged(ctx);
    }
    config.next = Math.max(config.next ?? 0, copy.configurationOffset);
    const {drainedDomains, configurationOffset} = copy;
    if (!drains.peerRead(ctx, drainedDomains, configurationOffset)) {
      config.mustList = true;
    }
    config.freshMs = Math.max(config.freshMs, freshMs);
    if (entries.next !== undefined && copy.registryOffset <= entries.next) {
      return;
    }
    entries.next = copy.registryOffset;
    entries.freshMs = Math.max(entries.freshMs, freshMs);
    entries.mustList = true;
    const changes = registry.replaceAll(
      ctx.nowMs,
      copy.entries,
      copy.registryOffset,
    );
    if (changes.length > 0) parts.registryChanged(ctx, changes);
  }

  return {pull, pullFromAny, sendCopy, copyReceived};
}
