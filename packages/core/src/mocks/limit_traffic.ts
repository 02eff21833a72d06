import type {EngineArrival} from './engine_arrival.js';
import type {GatewayFleet} from './gateway_fleet.js';
import {createTestRandom} from './step_harness.js';

/** Length of the windows in which requests to limited engines count. */
const LIMIT_WINDOW_MS = 4_000;

/** Sends requests to random gateways. */
export function playLoad(
  fleet: GatewayFleet,
  gateways: number,
  forMs: number,
  everyMs: number,
): void {
  const random = createTestRandom(gateways + Math.round(fleet.nowMs()));
  for (let ranMs = 0; ranMs < forMs; ranMs += everyMs) {
    fleet.send(Math.floor(random() * gateways));
    fleet.run(everyMs);
  }
}

/** Most requests that an engine got in any window that begins after a time. */
export function mostInWindow(
  arrivals: readonly EngineArrival[],
  engine: string,
  fromMs: number,
  windowMs = LIMIT_WINDOW_MS,
): number {
  const times = arrivals
    .filter(arrival => arrival.engine === engine && arrival.atMs >= fromMs)
    .map(({atMs}) => atMs);
  let first = 0;
  let most = 0;
  times.forEach((atMs, last) => {
    while (atMs - times[first]! >= windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
}
