import type {EndpointEntry} from '../registry/endpoint_entry.js';
import {allowedRequests, type FleetKnowledge} from './allowed_requests.js';
import {freeSince} from './free_since.js';
import type {RecentStarts} from './recent_starts.js';
import type {RequestRate} from './request_rate.js';
import {takesFreeSlot} from './takes_free_slot.js';
import {takesTurn, TURN_MS} from './takes_turn.js';

const MS_PER_SECOND = 1_000;
/** Wait for endpoints that take nothing: until they may be asked again. */
const CLOSED_WAIT_MS = 4_000;

/** Whether endpoints take one more request within their rates. */
export interface LimitRoom {
  /** Whether this gateway may send a request now. */
  hasRoom(nowMs: number, endpoint: EndpointEntry): boolean;
  /** Steady clock; when a request fits, in the past if one fits now. */
  freeSinceMs(nowMs: number, endpoint: EndpointEntry): number;
  /**
   * Time until as many requests fit into the rates of some endpoints, of this
   * gateway and as many of each other one; 0 if one has no rate.
   */
  waitMs(
    nowMs: number,
    endpoints: readonly EndpointEntry[],
    requests: number,
  ): number;
}

/** Dependencies of the room. */
export interface LimitRoomParts {
  self: string;
  starts: RecentStarts;
  /** Rates that an endpoint has now. */
  ratesOf(nowMs: number, endpoint: EndpointEntry): readonly RequestRate[];
  knowledge(nowMs: number, sharing: RequestRate['sharing']): FleetKnowledge;
}

/** Creates the view of the room that rates leave. */
export function createLimitRoom(parts: LimitRoomParts): LimitRoom {
  const {self, starts, ratesOf, knowledge} = parts;

  function freeSinceOf(
    nowMs: number,
    {id}: EndpointEntry,
    rate: RequestRate,
  ): number {
    const allowed = allowedRequests(rate, knowledge(nowMs, rate.sharing));
    return freeSince(starts.times(id), allowed, rate.windowMs);
  }

  function freeSinceMs(nowMs: number, endpoint: EndpointEntry): number {
    const times = ratesOf(nowMs, endpoint).map(rate =>
      freeSinceOf(nowMs, endpoint, rate),
    );
    return Math.max(Number.NEGATIVE_INFINITY, ...times);
  }

  function hasRoom(nowMs: number, endpoint: EndpointEntry): boolean {
    return ratesOf(nowMs, endpoint).every(rate => fits(nowMs, endpoint, rate));
  }

  function fits(
    nowMs: number,
    endpoint: EndpointEntry,
    rate: RequestRate,
  ): boolean {
    const sinceMs = freeSinceOf(nowMs, endpoint, rate);
    const {heard: gateways} = knowledge(nowMs, rate.sharing);
    if (rate.sharing === 'at_once') {
      return takesFreeSlot(nowMs, sinceMs, endpoint.id, self, gateways);
    }
    return nowMs >= sinceMs && hasTurn(nowMs, endpoint, rate);
  }

  function hasTurn(
    nowMs: number,
    {id}: EndpointEntry,
    rate: RequestRate,
  ): boolean {
    const {windowMs, sharing} = rate;
    const known = knowledge(nowMs, sharing);
    const turnStartMs = Math.floor(nowMs / TURN_MS) * TURN_MS;
    return takesTurn(nowMs, id, self, {
      allowed: allowedRequests(rate, known),
      sent: starts.times(id).filter(atMs => atMs > nowMs - windowMs).length,
      windowMs,
      gateways: known.heard,
      ownInTurn: starts.ownSince(id, turnStartMs),
    });
  }

  function waitMs(
    nowMs: number,
    endpoints: readonly EndpointEntry[],
    requests: number,
  ): number {
    let perSecond = 0;
    for (const endpoint of endpoints) {
      const rates = ratesOf(nowMs, endpoint);
      if (rates.length === 0) return 0;
      perSecond += Math.min(...rates.map(rate => rate.perSecond));
    }
    if (perSecond === 0) return CLOSED_WAIT_MS;
    const all = requests * knowledge(nowMs, 'at_once').known;
    return (all / perSecond) * MS_PER_SECOND;
  }

  return {hasRoom, freeSinceMs, waitMs};
}
