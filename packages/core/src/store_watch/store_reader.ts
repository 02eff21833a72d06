import type {FleetMembers} from '../fleet/fleet_members.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {readsForFleet} from './reads_for_fleet.js';
import {ageOf, type StorePositions} from './store_positions.js';
import type {StoreReachability} from './store_reachability.js';

/** Pause between two reads of the gateway that reads for the fleet. */
const READ_INTERVAL_MS = 500;
/** Pause between two choices of the reader, each a pass over all gateways. */
const CHOOSE_INTERVAL_MS = 20;
/** A gateway whose copy is older reads the store itself. */
const STALE_AFTER_MS = 1_050;
/** Pause between two reads of the other gateways while the store fails. */
const RETRY_INTERVAL_MS = 1_000;
/** Pause between two reads of a gateway that is told, but was not answered. */
const RECHECK_INTERVAL_MS = 5_000;
/** Endpoints are listed this often, in case that a change was missed. */
const LIST_INTERVAL_MS = 30_000;
/** A read without an answer counts as lost after this long. */
const READ_TIMEOUT_MS = 1_500;

/** When this gateway reads the store. */
export interface StoreReader {
  /** Sends the reads that are due. */
  expire(ctx: GatewayContext): void;
  /** Reads one part unless a read of it is pending. */
  read(ctx: GatewayContext, call: 'configuration' | 'registry'): void;
  /** Whether this gateway reads the store for the fleet. */
  isReader(nowMs: number): boolean;
}

/** Dependencies of the reader. */
export interface StoreReaderParts {
  self: string;
  members: FleetMembers;
  positions: StorePositions;
  reachability: StoreReachability;
}

/** Creates the reader of a process that has read nothing. */
export function createStoreReader(parts: StoreReaderParts): StoreReader {
  const {self, members, positions, reachability} = parts;
  let lastPollMs = Number.NEGATIVE_INFINITY;
  let lastChoiceMs = Number.NEGATIVE_INFINITY;

  function expire(ctx: GatewayContext): void {
    const {nowMs} = ctx;
    for (const position of [positions.configuration, positions.registry]) {
      const {readSentMs} = position;
      if (readSentMs !== undefined && nowMs - readSentMs >= READ_TIMEOUT_MS) {
        position.readSentMs = undefined;
      }
    }
    if (nowMs - lastChoiceMs < CHOOSE_INTERVAL_MS) return;
    lastChoiceMs = nowMs;
    if (nowMs - lastPollMs >= pollIntervalMs(nowMs)) poll(ctx);
  }

  function pollIntervalMs(nowMs: number): number {
    if (isReader(nowMs)) return READ_INTERVAL_MS;
    const reachable = reachability.reachable();
    if (ageOf(positions, nowMs) < STALE_AFTER_MS) {
      return reachable ? Number.POSITIVE_INFINITY : RECHECK_INTERVAL_MS;
    }
    return reachable ? READ_INTERVAL_MS : RETRY_INTERVAL_MS;
  }

  function isReader(nowMs: number): boolean {
    return readsForFleet(self, reachability.reachable(), members.alive(nowMs));
  }

  function poll(ctx: GatewayContext): void {
    lastPollMs = ctx.nowMs;
    read(ctx, 'registry');
    read(ctx, 'configuration');
  }

  function read(ctx: GatewayContext, call: 'configuration' | 'registry'): void {
    const position = positions[call];
    if (position.readSentMs !== undefined) return;
    position.readSentMs = ctx.nowMs;
    const fromOffset = mustList(ctx.nowMs, call) ? undefined : position.next;
    ctx.emit({kind: 'read_store', call, fromOffset});
  }

  function mustList(
    nowMs: number,
    call: 'configuration' | 'registry',
  ): boolean {
    const {mustList: needed, listedMs} = positions[call];
    const overdue = nowMs - listedMs >= LIST_INTERVAL_MS;
    return needed || (call === 'registry' && overdue);
  }

  return {expire, read, isReader};
}
