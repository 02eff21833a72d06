import type {DrainWatch} from '../domain_drain/drain_watch.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {StoreNews} from '../fleet/messages/store_news.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import type {CopyCheck} from './copy_check.js';
import type {RecentChanges} from './recent_changes.js';
import type {StateCopies} from './state_copies.js';
import type {StoreOutage} from './store_outage.js';
import {eraOf} from './store_offset.js';
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
  drains: DrainWatch;
  recent: RecentChanges;
  outage: StoreOutage;
  check: CopyCheck;
  copies: StateCopies;
  reachable(): boolean;
  /** Whether this gateway reads the store for the fleet. */
  isReader(nowMs: number): boolean;
  /** Whether an offset is from before the store was restored. */
  isOutdated(offset: number): boolean;
  read(ctx: GatewayContext, call: 'configuration' | 'registry'): void;
  registryChanged(ctx: GatewayContext, changes: EntryChange[]): void;
}

/** Creates the gossip about the store. */
export function createStoreGossip(parts: StoreGossipParts): StoreGossip {
  const {positions, members, registry, recent, check, copies, outage} = parts;

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
    // A copy of a peer brings the registry forward without single changes.
    if (recent.nextOffset() !== registryOffset) {
      recent.add(nowMs, registryOffset, registryOffset, []);
    }
    ctx.emit({
      kind: 'send_peers',
      to,
      message: {
        kind: 'store_news',
        configurationOffset,
        drainedDomains: parts.drains.list(),
        registryOffset,
        ...recentRecords(nowMs),
        summary: registry.summary(),
        retaining: outage.mayLack(nowMs),
        ageMs: ageOf(positions, nowMs),
      },
    });
  }

  /** Listing drops old changes, so that they start at a later offset. */
  function recentRecords(
    nowMs: number,
  ): Pick<StoreNews, 'changes' | 'registryFromOffset'> {
    const changes = recent.list(nowMs);
    return {changes, registryFromOffset: recent.fromOffset()};
  }

  /** Applies what a peer has read further on than this gateway. */
  function applyChanges(
    ctx: GatewayContext,
    known: number,
    {registryOffset, changes}: StoreNews,
  ): void {
    // Older registrations are known; a removal is told late if its reader
    // retained the endpoint.
    const applied = changes
      .filter(({offset, entry}) => offset >= known || !entry)
      .filter(change => registry.apply(ctx.nowMs, change, 'reader'));
    if (registryOffset > known) {
      recent.add(ctx.nowMs, known, registryOffset, applied);
      positions.registry.next = registryOffset;
      positions.registry.mustList = true;
    }
    if (applied.length > 0) parts.registryChanged(ctx, applied);
  }

  /** Whether both registries hold the same records, but other endpoints. */
  function differs(
    ctx: GatewayContext,
    from: string,
    {registryOffset, summary}: StoreNews,
  ): boolean {
    return (
      registryOffset === positions.registry.next &&
      check.differs(ctx, from, summary, registry.summary())
    );
  }

  function messageReceived(
    ctx: GatewayContext,
    from: string,
    message: StoreNews,
  ): void {
    if (parts.isOutdated(message.registryOffset)) return;
    const {configuration: config, registry: entries} = positions;
    const freshMs = ctx.nowMs - message.ageMs;
    const {drainedDomains, configurationOffset} = message;
    if (drainedDomains) {
      parts.drains.peerRead(ctx, drainedDomains, configurationOffset);
    }
    outage.answeredReader(ctx, freshMs, message.retaining);
    const configurationBehind =
      config.next === undefined || message.configurationOffset > config.next;
    if (!configurationBehind)
      config.freshMs = Math.max(config.freshMs, freshMs);
    const known = entries.next;
    // The changes since a copy of an earlier era may be incomplete.
    const registryCovered =
      known !== undefined &&
      known >= message.registryFromOffset &&
      eraOf(known) === eraOf(message.registryOffset);
    if (registryCovered && message.registryOffset >= known) {
      applyChanges(ctx, known, message);
    }
    if (differs(ctx, from, message)) {
      entries.mustList = true;
      parts.read(ctx, 'registry');
    }
    if (registryCovered) entries.freshMs = Math.max(entries.freshMs, freshMs);
    if (!configurationBehind && registryCovered) return;
    if (!parts.reachable()) copies.pull(ctx, from);
    if (configurationBehind) parts.read(ctx, 'configuration');
    if (!registryCovered) parts.read(ctx, 'registry');
  }

  return {broadcast, messageReceived};
}
