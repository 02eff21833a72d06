import type {GatewayFleet} from './gateway_fleet.js';
import type {FleetRequest} from './fleet_request.js';
import {createTestRandom} from './step_harness.js';

/** Parts that sound prompts share. */
export const SHARED_PARTS = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'];
/** The part that ends engines, unless a test names others. */
export const DEADLY_PART = 'dd';

/** Prompts of many callers, some of which end engines. */
export interface PartTraffic {
  gateways: number;
  forMs: number;
  /** Pause between two requests of the whole fleet. */
  everyMs: number;
  /** Fraction of the requests that hold a deadly part. */
  share: number;
  deadly?: string[];
  /** Parts that stand first in every prompt. */
  before?: string[];
}

/** Sends prompts to random gateways; callers repeat failed ones once. */
export function playParts(fleet: GatewayFleet, traffic: PartTraffic): void {
  const {gateways, forMs, everyMs, share, deadly = [DEADLY_PART]} = traffic;
  const {before = []} = traffic;
  const random = createTestRandom(gateways + Math.round(fleet.nowMs()));
  for (const part of deadly) fleet.engines.deadly.add(part);
  let waiting: FleetRequest[] = [];

  function pick<T>(all: readonly T[]): T {
    return all[Math.floor(random() * all.length)]!;
  }

  function send(sharedParts: string[]): FleetRequest {
    return fleet.send(Math.floor(random() * gateways), {sharedParts});
  }

  for (let ranMs = 0; ranMs < forMs; ranMs += everyMs) {
    const parts = [...before, pick(SHARED_PARTS)];
    if (random() < share) parts.push(pick(deadly));
    waiting.push(send(parts));
    fleet.run(everyMs);
    const ended = waiting.filter(({endedMs}) => endedMs !== undefined);
    waiting = waiting.filter(({endedMs}) => endedMs === undefined);
    for (const req of ended) {
      if (req.refusal === 'broken') send([...req.parts]);
    }
  }
}

/** Prompts with a part that reached engines from a time on. */
export function arrivalsOf(
  fleet: GatewayFleet,
  part: string,
  fromMs = 0,
): number {
  return fleet.engines.arrivals.filter(
    ({atMs, parts}) => parts.includes(part) && atMs >= fromMs,
  ).length;
}

/** Fraction of the sound prompts since then that the first attempt answers. */
export function begunAtOnce(fleet: GatewayFleet, fromMs: number): number {
  const sound = fleet.requests.filter(
    ({parts, arrivedMs}) =>
      arrivedMs >= fromMs &&
      arrivedMs < fleet.nowMs() - 2_000 &&
      !parts.some(part => fleet.engines.deadly.has(part)),
  );
  const begun = sound.filter(({begunBy}) => begunBy === 1);
  return begun.length / Math.max(1, sound.length);
}
