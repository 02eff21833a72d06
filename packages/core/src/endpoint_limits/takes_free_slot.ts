import {hash32} from '../shared/hash32.js';

/** Gateways that may take a slot as soon as it is free, on average. */
const FIRST_TAKERS = 4;
/** Time in which a gateway hears that another one took the slot. */
const HEARING_MS = 100;
const HASH_RANGE = 2 ** 32;

/**
 * Whether a gateway may use room that has become free at an endpoint. All
 * gateways with waiting requests see it at the same moment, so that only some
 * of them may take it at first, then twice as many, and so on.
 * @param gateways number of gateways, this one included
 */
export function takesFreeSlot(
  nowMs: number,
  freeSinceMs: number,
  endpoint: string,
  self: string,
  gateways: number,
): boolean {
  if (nowMs < freeSinceMs) return false;
  const rounds = Math.floor((nowMs - freeSinceMs) / HEARING_MS);
  const share = (FIRST_TAKERS * 2 ** rounds) / gateways;
  if (share >= 1) return true;
  const key = `${self} ${endpoint} ${Math.round(freeSinceMs)}`;
  return hash32(key) < share * HASH_RANGE;
}
