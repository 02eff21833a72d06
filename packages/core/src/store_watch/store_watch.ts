import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {ConfigurationRead} from '../gateway/events/configuration_read.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {RegistryRead} from '../gateway/events/registry_read.js';
import type {StoreFailed} from '../gateway/events/store_failed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {ChangeSource} from '../registry/change_source.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import {createConfigurationUpdates} from './configuration_updates.js';
import {createStoreGossip} from './store_gossip.js';
import {createCopyCheck} from './copy_check.js';
import {createRecentChanges} from './recent_changes.js';
import {createRegistryUpdates} from './registry_updates.js';
import {createStateCopies} from './state_copies.js';
import {createStoreReader} from './store_reader.js';
import {createUnreadableRecords} from './unreadable_records.js';
import {createStoreOutage} from './store_outage.js';
import {createStoreReachability} from './store_reachability.js';
import {createStoreEra} from './store_era.js';
import type {StorePosition} from './store_position.js';
import {ageOf, createStorePositions} from './store_positions.js';

/** Time that the first read gets before a copy is pulled from a peer. */
const FIRST_READ_TIMEOUT_MS = 250;

/** Keeps the configuration and the registry up to date. */
export interface StoreWatch extends GatewayFeature {
  /** Whether this process has a configuration and a list of endpoints. */
  loaded(): boolean;
  reachable(): boolean;
  /** Whether this gateway speaks to the store for the fleet. */
  isReader(nowMs: number): boolean;
  /** Age of the copies of configuration and registry, in milliseconds. */
  ageMs(nowMs: number): number;
}

/** Dependencies of the watch. */
export interface StoreWatchParts {
  self: string;
  members: FleetMembers;
  configuration: PublishedConfiguration;
  registry: EndpointRegistry;
  drains: DrainWatch;
  /** A newer configuration is in force. */
  configurationChanged(ctx: GatewayContext): void;
  /** The usable endpoints changed. */
  endpointsChanged(ctx: GatewayContext): void;
  /** The store lost what was written since an older copy of it. */
  storeRestored(ctx: GatewayContext): void;
}

/** Creates a watch that has read nothing. */
export function createStoreWatch(parts: StoreWatchParts): StoreWatch {
  const {self, members, configuration} = parts;
  const positions = createStorePositions();
  const reachability = createStoreReachability();
  const reader = createStoreReader({
    self,
    members,
    positions,
    reachability,
  });
  const recent = createRecentChanges();
  const outage = createStoreOutage();
  const era = createStoreEra();
  const unreadable = createUnreadableRecords();
  const updates = createRegistryUpdates({...parts, positions, recent, outage});
  const {registryChanged} = updates;
  const copies = createStateCopies({...parts, positions, registryChanged});
  const configurationUpdates = createConfigurationUpdates({
    ...parts,
    position: positions.configuration,
    reader,
    unreadable,
    copies,
  });
  const gossip = createStoreGossip({
    ...parts,
    positions,
    recent,
    outage,
    check: createCopyCheck(),
    copies,
    reachable: reachability.reachable,
    isReader: reader.isReader,
    isOutdated: era.isOutdated,
    read: reader.read,
    registryChanged,
  });
  let startedMs: number | undefined;

  /** Whether the store should have answered the first read by now. */
  function firstReadOverdue(nowMs: number): boolean {
    return nowMs - (startedMs ?? nowMs) >= FIRST_READ_TIMEOUT_MS;
  }

  function expire(ctx: GatewayContext): void {
    startedMs ??= ctx.nowMs;
    updates.expireMissing(ctx);
    reader.expire(ctx);
  }

  function answered(ctx: GatewayContext, position: StorePosition): void {
    position.freshMs = position.readSentMs ?? ctx.nowMs;
    position.readSentMs = undefined;
    reachability.answered(ctx);
    outage.answered(ctx);
    updates.expireMissing(ctx);
  }

  function failed(ctx: GatewayContext, event: StoreFailed): void {
    const {call, failure} = event;
    if (call !== 'configuration' && call !== 'registry') return;
    const position = positions[call];
    position.readSentMs = undefined;
    if (failure === 'expired' || failure === 'restored') {
      position.mustList = true;
      reader.read(ctx, call);
      return;
    }
    reachability.failed(ctx, call, failure);
    outage.failed(ctx.nowMs);
    if (!loaded()) copies.pullFromAny(ctx);
  }

  /** Voids all positions if an offset shows that the store was restored. */
  function observeEra(
    ctx: GatewayContext,
    offset: number,
    source: ChangeSource,
  ): void {
    if (!era.observe(ctx, offset, source)) return;
    positions.configuration.mustList = true;
    positions.registry.mustList = true;
    // Endpoints that registered since the copy are written again soon.
    outage.failed(ctx.nowMs);
    parts.storeRestored(ctx);
  }

  /** Whether an answer was given before the store was restored. */
  function isLateAnswer(position: StorePosition, nextOffset: number): boolean {
    if (!era.isOutdated(nextOffset)) return false;
    position.readSentMs = undefined;
    return true;
  }

  function configurationRead(
    ctx: GatewayContext,
    event: ConfigurationRead,
  ): void {
    const position = positions.configuration;
    if (isLateAnswer(position, event.nextOffset)) return;
    observeEra(ctx, event.nextOffset, 'store');
    answered(ctx, position);
    const advanced = event.nextOffset > (position.next ?? 0);
    configurationUpdates.storeRead(ctx, event);
    if (advanced || positions.registry.readSentMs === undefined) broadcast(ctx);
  }

  function registryRead(ctx: GatewayContext, event: RegistryRead): void {
    const position = positions.registry;
    if (isLateAnswer(position, event.nextOffset)) return;
    observeEra(ctx, event.nextOffset, 'store');
    answered(ctx, position);
    unreadable.entriesRead(ctx, event.changes);
    updates.storeRead(ctx, event);
    // Reads that are pending at the same time are broadcast together.
    const alone = positions.configuration.readSentMs === undefined;
    if (alone || updates.broadcastPending()) broadcast(ctx);
  }

  function broadcast(ctx: GatewayContext): void {
    updates.broadcastStarted();
    gossip.broadcast(ctx);
  }

  function received(ctx: GatewayContext, event: PeerReceived): void {
    const {from, message} = event;
    if (!loaded() && firstReadOverdue(ctx.nowMs)) copies.pull(ctx, from);
    switch (message.kind) {
      case 'store_news':
        observeEra(ctx, message.registryOffset, 'reader');
        return gossip.messageReceived(ctx, from, message);
      case 'state_pull':
        return copies.sendCopy(ctx, from, message.configurationVersion);
      case 'state_copy':
        if (era.isOutdated(message.registryOffset)) return;
        observeEra(ctx, message.registryOffset, 'reader');
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
    isReader: reader.isReader,
    ageMs,
  };
}
