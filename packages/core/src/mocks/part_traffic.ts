import type {RequestArrived} from '../gateway/events/request_arrived.js';
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
  /** Fraction of the requests that end engines though their parts are sound. */
  requestShare?: number;
  /** Parts that stand first in every prompt. */
  before?: string[];
}

/**
 * Sends prompts to random gateways. Callers repeat failed ones once, and a
 * request that ends engines by itself for as long as it is not refused.
 */
export function playParts(fleet: GatewayFleet, traffic: PartTraffic): void {
  const {gateways, forMs, everyMs, share, deadly = [DEADLY_PART]} = traffic;
  const {before = [], requestShare = 0} = traffic;
  const random = createTestRandom(gateways + Math.round(fleet.nowMs()));
  for (const part of deadly) fleet.engines.deadly.add(part);
  let waiting: FleetRequest[] = [];

  function pick<T>(all: readonly T[]): T {
    return all[Math.floor(random() * all.length)]!;
  }

  function send(over: Partial<RequestArrived>): FleetRequest {
    return fleet.send(Math.floor(random() * gateways), over);
  }

  function sendNew(): FleetRequest {
    const sharedParts = [...before, pick(SHARED_PARTS)];
    if (random() < share) sharedParts.push(pick(deadly));
    if (requestShare === 0 || random() >= requestShare) {
      return send({sharedParts});
    }
    const digest = `own${fleet.requests.length}`;
    fleet.engines.deadly.add(digest);
    return send({sharedParts, digest: () => digest});
  }

  function repeat({parts, digest}: FleetRequest): void {
    const req = send({sharedParts: [...parts], digest: () => digest});
    if (fleet.engines.deadly.has(digest)) waiting.push(req);
  }

  for (let ranMs = 0; ranMs < forMs; ranMs += everyMs) {
    waiting.push(sendNew());
    fleet.run(everyMs);
    const ended = waiting.filter(({endedMs}) => endedMs !== undefined);
    waiting = waiting.filter(({endedMs}) => endedMs === undefined);
    for (const req of ended) {
      if (req.refusal === 'broken') repeat(req);
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

/** Whether a prompt ends no engine, by itself or by a part. */
export function isSound(
  fleet: GatewayFleet,
  {parts, digest}: Pick<FleetRequest, 'parts' | 'digest'>,
): boolean {
  return ![...parts, digest].some(cause => fleet.engines.deadly.has(cause));
}

/** Fraction of the sound prompts since then that the first attempt answers. */
export function begunAtOnce(fleet: GatewayFleet, fromMs: number): number {
  const sound = fleet.requests.filter(
    req =>
      req.arrivedMs >= fromMs &&
      req.arrivedMs < fleet.nowMs() - 2_000 &&
      isSound(fleet, req),
  );
  const begun = sound.filter(({begunBy}) => begunBy === 1);
  return begun.length / Math.max(1, sound.length);
}
