import type {FleetMembers} from '../fleet/fleet_members.js';
import type {StoreNews} from '../fleet/messages/store_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import type {RecentChanges} from './recent_changes.js';
import type {StateCopies} from './state_copies.js';
import {ageOf, type StorePositions} from './store_positions.js';

/** Shares what one gateway reads from the store with the fleet. */
export interface StoreGossip {
  broadcast(ctx: GatewayContext): void;
  messageReceived(ctx: GatewayContext, from: string, message: StoreNews): void;
}

/** Dependencies of the gossip. */
export interface StoreGossipParts {
  positions: StorePositions;
  members: FleetMembers;
  registry: EndpointRegistry;
  recent: RecentChanges;
  copies: StateCopies;
  reachable(): boolean;
  /** Whether this gateway reads the store for the fleet. */
  isReader(nowMs: number): boolean;
  read(ctx: GatewayContext, call: 'configuration' | 'registry'): void;
  registryChanged(ctx: GatewayContext, changes: EntryChange[]): void;
}

/** Creates the gossip about the store. */
export function createStoreGossip(parts: StoreGossipParts): StoreGossip {
  const {positions, members, registry, recent, copies} = parts;

  /** Sends what was read to the others, if this gateway is the reader. */
  function broadcast(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const {next: registryOffset} = positions.registry;
    const {next: configurationOffset} = positions.configuration;
    if (registryOffset === undefined || configurationOffset === undefined) {
      return;
    }
    if (!parts.isReader(nowMs)) return;
    const to = members.aliveAddresses(nowMs);
    if (to.length === 0) return;
    ctx.emit({
      kind: 'send_peers',
      to,
      message: {
        kind: 'store_news',
        configurationOffset,
        registryOffset,
        registryFromOffset: recent.fromOffset(),
        changes: recent.list(nowMs),
        ageMs: ageOf(positions, nowMs),
      },
    });
  }

  function messageReceived(
    ctx: GatewayContext,
    from: string,
    message: StoreNews,
  ): void {
    const {configuration: config, registry: entries} = positions;
    const freshMs = ctx.nowMs - message.ageMs;
    const configurationBehind =
      config.next === undefined || message.configurationOffset > config.next;
    if (!configurationBehind)
      config.freshMs = Math.max(config.freshMs, freshMs);
    const known = entries.next;
    const registryCovered =
      known !== undefined && known >= message.registryFromOffset;
    if (registryCovered && message.registryOffset > known) {
      const applied = message.changes.filter(change =>
        registry.apply(ctx.nowMs, change),
      );
      entries.next = message.registryOffset;
      entries.mustList = true;
      if (applied.length > 0) parts.registryChanged(ctx, applied);
    }
    if (registryCovered) entries.freshMs = Math.max(entries.freshMs, freshMs);
    if (!configurationBehind && registryCovered) return;
    if (!parts.reachable()) copies.pull(ctx, from);
    if (configurationBehind) parts.read(ctx, 'configuration');
    if (!registryCovered) parts.read(ctx, 'registry');
  }

  return {broadcast, messageReceived};
}
