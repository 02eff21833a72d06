import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {ConfigurationRead} from '../gateway/events/configuration_read.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {RegistryRead} from '../gateway/events/registry_read.js';
import type {StoreFailed} from '../gateway/events/store_failed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import {adoptConfiguration} from './adopt_configuration.js';
import {createStoreGossip} from './store_gossip.js';
import {createRecentChanges} from './recent_changes.js';
import {logEntryChanges} from './log_entry_changes.js';
import {createStateCopies} from './state_copies.js';
import {createStoreReader} from './store_reader.js';
import {createStoreReachability} from './store_reachability.js';
import type {StorePosition} from './store_position.js';
import {ageOf, createStorePositions} from './store_positions.js';

/** The store needs about this long to list all living endpoints again. */
const RELISTING_MS = 2_000;
/** Time after its start in which a process counts on the store alone. */
const FIRST_READ_MS = 250;
/** Keeps the configuration and the registry up to date. */
export interface StoreWatch extends GatewayFeature {
  /** Whether this process has a configuration and a list of endpoints. */
  loaded(): boolean;
  reachable(): boolean;
  /** Age of what is known of the registry, in milliseconds. */
  ageMs(nowMs: number): number;
}

/** What the watch works on. */
export interface StoreWatchParts {
  self: string;
  members: FleetMembers;
  configuration: PublishedConfiguration;
  registry: EndpointRegistry;
  /** A newer configuration is in force. */
  configurationChanged(ctx: GatewayContext): void;
  /** The usable endpoints changed. */
  endpointsChanged(ctx: GatewayContext): void;
}

/** Creates a watch that has read nothing. */
export function createStoreWatch(parts: StoreWatchParts): StoreWatch {
  const {self, members, configuration, registry} = parts;
  const positions = createStorePositions();
  const reachability = createStoreReachability();
  const reader = createStoreReader({
    self,
    members,
    positions,
    reach: reachability,
  });
  const recent = createRecentChanges();
  const copies = createStateCopies({...parts, positions});
  const gossip = createStoreGossip({
    ...parts,
    positions,
    recent,
    copies,
    reachable: reachability.reachable,
    isReader: reader.isReader,
    ask: reader.ask,
    registryChanged,
  });
  let startedMs: number | undefined;
  /** Whether the registry changed since peers were told. */
  let untold = false;

  /** The store would have answered by now if it could. */
  function waitedLong(nowMs: number): boolean {
    return nowMs - (startedMs ?? nowMs) >= FIRST_READ_MS;
  }

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    startedMs ??= nowMs;
    const gone = registry.expire(nowMs);
    if (gone.length > 0) {
      // Peers rely on this gateway's reads, which are past these records.
      recent.add(nowMs, positions.registry.next ?? 0, gone);
      registryChanged(ctx, gone);
      untold = true;
    }
    reader.expire(ctx);
  }

  function answered(ctx: GatewayContext, position: StorePosition): void {
    position.freshMs = position.askedMs ?? ctx.nowMs;
    position.askedMs = undefined;
    if (reachability.answered(ctx)) {
      registry.retainMissingUntil(ctx.nowMs + RELISTING_MS);
    }
  }

  function failed(ctx: GatewayContext, event: StoreFailed): void {
    const {call, failure} = event;
    if (call !== 'configuration' && call !== 'registry') return;
    const position = positions[call];
    position.askedMs = undefined;
    if (failure === 'expired') {
      position.mustList = true;
      reader.ask(ctx, call);
      return;
    }
    reachability.failed(ctx, call, failure);
    if (!loaded()) copies.pullFromAny(ctx);
  }

  function configurationRead(
    ctx: GatewayContext,
    event: ConfigurationRead,
  ): void {
    const position = positions.configuration;
    answered(ctx, position);
    const moved = event.nextOffset > (position.next ?? 0);
    position.next = Math.max(position.next ?? 0, event.nextOffset);
    position.mustList = false;
    const {configuration: next} = event;
    if (next && adoptConfiguration(ctx, configuration, next, 'store')) {
      parts.configurationChanged(ctx);
    }
    if (moved || positions.registry.askedMs === undefined) tell(ctx);
  }

  function registryRead(ctx: GatewayContext, event: RegistryRead): void {
    const position = positions.registry;
    const askedFrom = position.next;
    answered(ctx, position);
    // A late answer may be older than what others have told since.
    const outdated = event.nextOffset < (position.next ?? 0);
    if (event.listing && !outdated) {
      position.mustList = false;
      position.next = event.nextOffset;
      const changed = registry.replaceAll(ctx.nowMs, event.changes);
      recent.restart(event.nextOffset);
      if (changed) registryChanged(ctx, []);
      untold ||= changed;
    } else if (!event.listing && askedFrom === event.fromOffset) {
      position.next = event.nextOffset;
      const applied = event.changes.filter(change =>
        registry.apply(ctx.nowMs, change),
      );
      recent.add(ctx.nowMs, event.nextOffset, applied);
      if (applied.length > 0) registryChanged(ctx, applied);
      untold ||= applied.length > 0;
    }
    // What is read at the same time is told together.
    if (untold || positions.configuration.askedMs === undefined) tell(ctx);
  }

  function tell(ctx: GatewayContext): void {
    untold = false;
    gossip.broadcast(ctx);
  }

  function registryChanged(ctx: GatewayContext, changes: EntryChange[]): void {
    logEntryChanges(ctx, changes);
    parts.endpointsChanged(ctx);
  }

  function received(ctx: GatewayContext, event: PeerReceived): void {
    const {from, message} = event;
    if (!loaded() && waitedLong(ctx.nowMs)) copies.pull(ctx, from);
    switch (message.kind) {
      case 'store_news':
        return gossip.newsReceived(ctx, from, message);
      case 'state_pull':
        return copies.sendCopy(ctx, from, message.configurationVersion);
      case 'state_copy':
        return copies.copyReceived(ctx, message);
      default:
        return;
    }
  }

  function loaded(): boolean {
    return (
      configuration.current() !== undefined &&
      positions.registry.next !== undefined
    );
  }

  function ageMs(nowMs: number): number {
    return ageOf(positions, nowMs);
  }

  return {
    handlers: {
      configuration_read: configurationRead,
      registry_read: registryRead,
      store_failed: failed,
      peer_received: received,
    },
    expire,
    loaded,
    reachable: reachability.reachable,
    ageMs,
  };
}
