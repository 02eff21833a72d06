import type {FleetMembers} from '../fleet/fleet_members.js';
import type {StoreNews} from '../fleet/messages/store_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import type {RecentChanges} from './recent_changes.js';
import type {StateCopies} from './state_copies.js';
import {ageOf, type StorePositions} from './store_positions.js';

/** News of the store between gateways. */
export interface StoreGossip {
  broadcast(ctx: GatewayContext): void;
  newsReceived(ctx: GatewayContext, from: string, news: StoreNews): void;
}

/** What the news work on. */
export interface StoreGossipParts {
  positions: StorePositions;
  members: FleetMembers;
  registry: EndpointRegistry;
  recent: RecentChanges;
  copies: StateCopies;
  reachable(): boolean;
  /** Whether this gateway reads the store for all. */
  isReader(nowMs: number): boolean;
  ask(ctx: GatewayContext, call: 'configuration' | 'registry'): void;
  registryChanged(ctx: GatewayContext, changes: EntryChange[]): void;
}

/** Creates the exchange of news. */
export function createStoreGossip(parts: StoreGossipParts): StoreGossip {
  const {positions, members, registry, recent, copies} = parts;

  /** Tells the others what was read, if this gateway reads for all. */
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

  function newsReceived(
    ctx: GatewayContext,
    from: string,
    news: StoreNews,
  ): void {
    const {configuration: config, registry: entries} = positions;
    const freshMs = ctx.nowMs - news.ageMs;
    const behind =
      config.next === undefined || news.configurationOffset > config.next;
    if (!behind) config.freshMs = Math.max(config.freshMs, freshMs);
    const known = entries.next;
    const covered = known !== undefined && known >= news.registryFromOffset;
    if (covered && news.registryOffset > known) {
      const applied = news.changes.filter(change =>
        registry.apply(ctx.nowMs, change),
      );
      entries.next = news.registryOffset;
      entries.mustList = true;
      if (applied.length > 0) parts.registryChanged(ctx, applied);
    }
    if (covered) entries.freshMs = Math.max(entries.freshMs, freshMs);
    if (!behind && covered) return;
    if (!parts.reachable()) copies.pull(ctx, from);
    if (behind) parts.ask(ctx, 'configuration');
    if (!covered) parts.ask(ctx, 'registry');
  }

  return {broadcast, newsReceived};
}
