import type {RegistryRead} from '../gateway/events/registry_read.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import {logEntryChanges} from './log_entry_changes.js';
import type {RecentChanges} from './recent_changes.js';
import type {StoreOutage} from './store_outage.js';
import type {StorePositions} from './store_positions.js';

/** Applies what this gateway reads of the registry. */
export interface RegistryUpdates {
  /** Applies an answer of the store. */
  storeRead(ctx: GatewayContext, event: RegistryRead): void;
  /** Removes entries that are no longer retained. */
  expireMissing(ctx: GatewayContext): void;
  /** Reports changes of the usable endpoints. */
  registryChanged(ctx: GatewayContext, changes: EntryChange[]): void;
  /** Whether the registry changed here since the last broadcast. */
  broadcastPending(): boolean;
  broadcastStarted(): void;
}

/** Dependencies of the updates. */
export interface RegistryUpdateParts {
  registry: EndpointRegistry;
  positions: StorePositions;
  recent: RecentChanges;
  outage: StoreOutage;
  /** The usable endpoints changed. */
  endpointsChanged(ctx: GatewayContext): void;
}

/** Creates the updates of a registry that was not read yet. */
export function createRegistryUpdates(
  parts: RegistryUpdateParts,
): RegistryUpdates {
  const {registry, positions, recent, outage} = parts;
  let pending = false;

  function storeRead(ctx: GatewayContext, event: RegistryRead): void {
    const position = positions.registry;
    // A late answer may be older than what peers have sent since.
    const outdated = event.nextOffset < (position.next ?? 0);
    if (event.listing && !outdated) listed(ctx, event);
    else if (!event.listing && position.next === event.fromOffset) {
      changesRead(ctx, event);
    }
  }

  function changesRead(ctx: GatewayContext, event: RegistryRead): void {
    const {fromOffset, nextOffset, changes} = event;
    positions.registry.next = nextOffset;
    const applied = changes.filter(change =>
      registry.apply(ctx.nowMs, change, 'store'),
    );
    recent.add(ctx.nowMs, fromOffset, nextOffset, applied);
    if (applied.length > 0) registryChanged(ctx, applied);
    pending ||= applied.length > 0;
  }

  function listed(ctx: GatewayContext, event: RegistryRead): void {
    const position = positions.registry;
    const {nowMs} = ctx;
    const {nextOffset, changes} = event;
    const {next: before} = position;
    const isFirst = before === undefined;
    position.mustList = false;
    position.next = nextOffset;
    position.listedMs = nowMs;
    const applied = registry.replaceAll(nowMs, changes, nextOffset);
    recent.add(nowMs, before ?? nextOffset, nextOffset, isFirst ? [] : applied);
    if (applied.length > 0) registryChanged(ctx, applied);
    pending ||= applied.length > 0;
  }

  function expireMissing(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    registry.retainMissingUntil(outage.relistedMs());
    const expired = registry.expire(nowMs);
    if (expired.length === 0) return;
    // Peers rely on this gateway's reads, which have passed these records.
    const offset = positions.registry.next ?? 0;
    recent.add(nowMs, offset, offset, expired);
    registryChanged(ctx, expired);
    pending = true;
  }

  function registryChanged(ctx: GatewayContext, changes: EntryChange[]): void {
    logEntryChanges(ctx, changes);
    const {endpoints: value} = registry.summary();
    const metric = 'registered_endpoints';
    ctx.emit({kind: 'observe', metric, labels: {}, value});
    parts.endpointsChanged(ctx);
  }

  return {
    storeRead,
    expireMissing,
    registryChanged,
    broadcastPending: () => pending,
    broadcastStarted: () => {
      pending = false;
    },
  };
}
