import {hash32} from '../shared/hash32.js';

/** Length of a turn: within it, a gateway hears what others have sent. */
export const TURN_MS = 100;
/** Turns until most others have heard of a request, relays included. */
const TURNS_UNHEARD = 3;
const HASH_RANGE = 2 ** 32;

/** Capacity of an endpoint, as the gateways that hear each other know it. */
export interface TurnRoom {
  /** Requests that they may send in a window, and those they have sent. */
  allowed: number;
  sent: number;
  windowMs: number;
  /** Number of these gateways, this one included. */
  gateways: number;
  /** Requests that this gateway has sent in the turn. */
  ownInTurn: number;
}

/**
 * Whether a gateway may send a request to an endpoint in its current turn. In
 * a turn, the gateways send no more than a part of the room, so that they hear
 * of it in time, or the share of the turn in the window if they do not hear.
 */
export function takesTurn(
  nowMs: number,
  endpoint: string,
  self: string,
  {allowed, sent, windowMs, gateways, ownInTurn}: TurnRoom,
): boolean {
  const heard = Math.floor(allowed - sent) / TURNS_UNHEARD;
  const unheard = (allowed * TURN_MS) / windowMs;
  const quota = Math.max(heard, unheard) / gateways;
  if (quota >= 1) return ownInTurn < Math.floor(quota);
  const key = `${self} ${endpoint} ${Math.floor(nowMs / TURN_MS)}`;
  return ownInTurn === 0 && hash32(key) < quota * HASH_RANGE;
}
