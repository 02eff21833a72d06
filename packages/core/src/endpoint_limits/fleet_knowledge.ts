import type {FleetMembers} from '../fleet/fleet_members.js';
import type {FleetKnowledge} from './allowed_requests.js';
import {heardGateways} from './heard_gateways.js';
import type {RequestRate} from './request_rate.js';

type Knowledge = Record<RequestRate['sharing'], FleetKnowledge>;

/** Looks up what this gateway knows of the fleet, once for each moment. */
export function createFleetKnowledge(
  members: FleetMembers,
  uptimeMs: (nowMs: number) => number,
): (nowMs: number, sharing: RequestRate['sharing']) => FleetKnowledge {
  let atMs = Number.NaN;
  let cached: Knowledge;

  function look(nowMs: number): Knowledge {
    const shared = {known: members.knownCount(), uptimeMs: uptimeMs(nowMs)};
    const ages = [...members.all()].map(
      ({lastHeardMs}) => nowMs - (lastHeardMs ?? Number.NEGATIVE_INFINITY),
    );
    return {
      at_once: {...shared, heard: members.aliveCount(nowMs)},
      gradually: {...shared, heard: heardGateways(ages)},
    };
  }

  return (nowMs, sharing) => {
    if (nowMs !== atMs) cached = look(nowMs);
    atMs = nowMs;
    return cached[sharing];
  };
}
