import type {FleetMembers} from '../fleet/fleet_members.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {chooseReader} from './choose_reader.js';
import {ageOf, type StorePositions} from './store_positions.js';
import type {StoreReachability} from './store_reachability.js';

/** Pause between two reads of the gateway that reads for all. */
const READ_INTERVAL_MS = 500;
/** Who reads is looked up this often, as it walks all gateways. */
const CHECK_INTERVAL_MS = 20;
/** Knowledge that is older makes a gateway read the store itself. */
const STALE_AFTER_MS = 1_050;
/** Pause between two reads of other gateways while the store fails. */
const RETRY_INTERVAL_MS = 1_000;
/** A read without an answer is taken for lost. */
const READ_TIMEOUT_MS = 1_500;

/** When this gateway reads the store. */
export interface StoreReader {
  /** Reads what is due. */
  expire(ctx: GatewayContext): void;
  ask(ctx: GatewayContext, call: 'configuration' | 'registry'): void;
  /** Whether this gateway reads the store for all. */
  isReader(nowMs: number): boolean;
}

/** What the reads depend on. */
export interface StoreReaderParts {
  self: string;
  members: FleetMembers;
  positions: StorePositions;
  reach: StoreReachability;
}

/** Creates the reads of a process that has read nothing. */
export function createStoreReader(parts: StoreReaderParts): StoreReader {
  const {self, members, positions, reach} = parts;
  let polledMs = Number.NEGATIVE_INFINITY;
  let checkedMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    for (const position of [positions.configuration, positions.registry]) {
      const {askedMs} = position;
      if (askedMs !== undefined && nowMs - askedMs >= READ_TIMEOUT_MS) {
        position.askedMs = undefined;
      }
    }
    if (nowMs - checkedMs < CHECK_INTERVAL_MS) return;
    checkedMs = nowMs;
    if (nowMs - polledMs >= pollIntervalMs(nowMs)) poll(ctx);
  }

  function pollIntervalMs(nowMs: number): number {
    if (isReader(nowMs)) return READ_INTERVAL_MS;
    if (ageOf(positions, nowMs) < STALE_AFTER_MS)
      return Number.POSITIVE_INFINITY;
    return reach.reachable() ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
  }

  function isReader(nowMs: number): boolean {
    return chooseReader(self, reach.reachable(), members.alive(nowMs)) === self;
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

  return {expire, ask, isReader};
}
