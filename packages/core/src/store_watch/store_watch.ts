import type {PublishedConfiguration} from '../configuration/published_configuration.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {StateCopy} from '../fleet/messages/state_copy.js';
import type {StoreNews} from '../fleet/messages/store_news.js';
import type {ConfigurationRead} from '../gateway/events/configuration_read.js';
import type {PeerReceived} from '../gateway/events/peer_received.js';
import type {RegistryRead} from '../gateway/events/registry_read.js';
import type {StoreFailed} from '../gateway/events/store_failed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {EntryChange} from '../registry/entry_change.js';
import {chooseReader} from './choose_reader.js';
import {createRecentChanges} from './recent_changes.js';
import {createStorePosition, type StorePosition} from './store_position.js';

/** Pause between two reads of the gateway that reads for all. */
const READ_INTERVAL_MS = 500;
/** Knowledge that is older makes a gateway read the store itself. */
const STALE_AFTER_MS = 1_050;
/** Pause between two reads of other gateways while the store fails. */
const RETRY_INTERVAL_MS = 1_000;
/** A read without an answer is taken for lost. */
const READ_TIMEOUT_MS = 1_500;
/** The store needs about this long to list all living endpoints again. */
const RELISTING_MS = 2_000;
/** Time after its start in which a process counts on the store alone. */
const FIRST_READ_MS = 250;
/** Pause between two requests for another gateway's copy. */
const PULL_INTERVAL_MS = 400;

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
  configured(ctx: GatewayContext): void;
  /** The usable endpoints changed. */
  registered(ctx: GatewayContext): void;
}

/** Creates a watch that has read nothing. */
export function createStoreWatch(parts: StoreWatchParts): StoreWatch {
  const {self, members, configuration, registry} = parts;
  const positions: Record<'configuration' | 'registry', StorePosition> = {
    configuration: createStorePosition(),
    registry: createStorePosition(),
  };
  const recent = createRecentChanges();
  let reachable = false;
  let failedSinceSuccess = false;
  let polledMs = Number.NEGATIVE_INFINITY;
  let pulledMs = Number.NEGATIVE_INFINITY;
  let startedMs: number | undefined;

  /** The store would have answered by now if it could. */
  function waitedLong(nowMs: number): boolean {
    return nowMs - (startedMs ?? nowMs) >= FIRST_READ_MS;
  }

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    startedMs ??= nowMs;
    for (const position of Object.values(positions)) {
      const {askedMs} = position;
      if (askedMs !== undefined && nowMs - askedMs >= READ_TIMEOUT_MS) {
        position.askedMs = undefined;
      }
    }
    const gone = registry.expire(nowMs);
    if (gone.length > 0) {
      // Peers rely on this gateway's reads, which are past these records.
      recent.add(nowMs, positions.registry.next ?? 0, gone);
      registryChanged(ctx, gone);
    }
    if (nowMs - polledMs >= pollIntervalMs(nowMs)) poll(ctx);
  }

  function pollIntervalMs(nowMs: number): number {
    if (reads(nowMs)) return READ_INTERVAL_MS;
    if (ageMs(nowMs) < STALE_AFTER_MS) return Number.POSITIVE_INFINITY;
    return reachable ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
  }

  function reads(nowMs: number): boolean {
    return chooseReader(self, reachable, members.alive(nowMs)) === self;
  }

  function poll(ctx: GatewayContext): void {
    polledMs = ctx.nowMs;
    ask(ctx, 'registry');
    ask(ctx, 'configuration');
  }

  function ask(ctx: GatewayContext, call: 'configuration' | 'registry'): void {
    const position = positions[call];
    if (position.askedMs !== undefined) return;
    position.askedMs = ctx.nowMs;
    const fromOffset = position.mustList ? undefined : position.next;
    ctx.emit({kind: 'read_store', call, fromOffset});
  }

  function answered(ctx: GatewayContext, position: StorePosition): void {
    position.freshMs = position.askedMs ?? ctx.nowMs;
    position.askedMs = undefined;
    if (!reachable) {
      reachable = true;
      ctx.emit({kind: 'write_log', event: 'WL8002', fields: {reachable}});
    }
    if (failedSinceSuccess) {
      failedSinceSuccess = false;
      registry.forgiveUntil(ctx.nowMs + RELISTING_MS);
    }
  }

  function failed(ctx: GatewayContext, event: StoreFailed): void {
    const {call, failure} = event;
    if (call !== 'configuration' && call !== 'registry') return;
    const position = positions[call];
    position.askedMs = undefined;
    if (failure === 'expired') {
      position.mustList = true;
      ask(ctx, call);
      return;
    }
    failedSinceSuccess = true;
    if (reachable) {
      reachable = false;
      const fields = {reachable, call, failure};
      ctx.emit({kind: 'write_log', event: 'WL8002', fields});
    }
    if (!loaded()) pullFromAny(ctx);
  }

  function configurationRead(
    ctx: GatewayContext,
    event: ConfigurationRead,
  ): void {
    const position = positions.configuration;
    answered(ctx, position);
    position.next = Math.max(position.next ?? 0, event.nextOffset);
    position.mustList = false;
    if (event.configuration) adopt(ctx, event.configuration, 'store');
    tell(ctx);
  }

  function adopt(
    ctx: GatewayContext,
    next: NonNullable<ConfigurationRead['configuration']>,
    source: string,
  ): void {
    const before = configuration.version();
    if (!configuration.adopt(next)) return;
    ctx.emit({
      kind: 'write_log',
      event: 'WL8001',
      fields: {
        version: next.version,
        before,
        source,
        routes: next.routes.length,
      },
    });
    parts.configured(ctx);
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
      const changed = registry.list(ctx.nowMs, event.changes);
      recent.restart(event.nextOffset);
      if (changed) registryChanged(ctx, []);
    } else if (!event.listing && askedFrom === event.fromOffset) {
      position.next = event.nextOffset;
      const applied = event.changes.filter(change =>
        registry.apply(ctx.nowMs, change),
      );
      recent.add(ctx.nowMs, event.nextOffset, applied);
      if (applied.length > 0) registryChanged(ctx, applied);
    }
    tell(ctx);
  }

  function registryChanged(ctx: GatewayContext, changes: EntryChange[]): void {
    for (const {id, entry, unreadable} of changes) {
      const state = entry?.state ?? (unreadable ? 'unreadable' : 'gone');
      const fields = {endpoint: id, state, address: entry?.address ?? ''};
      ctx.emit({kind: 'write_log', event: 'WL8003', fields});
    }
    parts.registered(ctx);
  }

  /** Tells the others what was read, if this gateway reads for all. */
  function tell(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    const {next: registryOffset} = positions.registry;
    const {next: configurationOffset} = positions.configuration;
    if (registryOffset === undefined || configurationOffset === undefined) {
      return;
    }
    if (!reads(nowMs)) return;
    const to = members.alive(nowMs).map(({address}) => address);
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
        ageMs: ageMs(nowMs),
      },
    });
  }

  function received(ctx: GatewayContext, event: PeerReceived): void {
    const {from, message} = event;
    if (!loaded() && waitedLong(ctx.nowMs)) pull(ctx, from);
    switch (message.kind) {
      case 'store_news':
        return newsReceived(ctx, from, message);
      case 'state_pull':
        return sendCopy(ctx, from, message.configurationVersion);
      case 'state_copy':
        return copyReceived(ctx, message);
      default:
        return;
    }
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
      if (applied.length > 0) registryChanged(ctx, applied);
    }
    if (covered) entries.freshMs = Math.max(entries.freshMs, freshMs);
    if (!behind && covered) return;
    if (!reachable) pull(ctx, from);
    if (behind) ask(ctx, 'configuration');
    if (!covered) ask(ctx, 'registry');
  }

  function pullFromAny(ctx: GatewayContext): void {
    const [peer] = members.alive(ctx.nowMs);
    if (peer) pull(ctx, peer.address);
  }

  function pull(ctx: GatewayContext, from: string): void {
    if (ctx.nowMs - pulledMs < PULL_INTERVAL_MS) return;
    pulledMs = ctx.nowMs;
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
        configuration: current.version > version ? current : undefined,
        registryOffset,
        entries: registry.entries(),
        ageMs: ageMs(ctx.nowMs),
      },
    });
  }

  function copyReceived(ctx: GatewayContext, copy: StateCopy): void {
    const {configuration: config, registry: entries} = positions;
    const freshMs = ctx.nowMs - copy.ageMs;
    if (copy.configuration) adopt(ctx, copy.configuration, 'peer');
    config.next = Math.max(config.next ?? 0, copy.configurationOffset);
    config.freshMs = Math.max(config.freshMs, freshMs);
    if (entries.next !== undefined && copy.registryOffset <= entries.next) {
      return;
    }
    const changes = copy.entries.map(entry => ({
      id: entry.id,
      entry,
      unreadable: false,
    }));
    entries.next = copy.registryOffset;
    entries.freshMs = Math.max(entries.freshMs, freshMs);
    entries.mustList = true;
    if (registry.list(ctx.nowMs, changes)) parts.registered(ctx);
  }

  function loaded(): boolean {
    return (
      configuration.current() !== undefined &&
      positions.registry.next !== undefined
    );
  }

  function ageMs(nowMs: number): number {
    const freshMs = Math.min(
      positions.registry.freshMs,
      positions.configuration.freshMs,
    );
    return nowMs - freshMs;
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
    reachable: () => reachable,
    ageMs,
  };
}
