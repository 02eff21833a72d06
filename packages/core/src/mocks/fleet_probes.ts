import {partitionOf, partitionStream} from '../claims/claim_key.js';
import type {LogStream} from '../types/log_stream.js';
import type {RouterFleet} from './router_fleet.js';

/** Stream of a key of the fleet's only customer. */
export function streamOf(key: string): LogStream {
  return partitionStream(partitionOf(`clerks/${key}`));
}

/** A key whose recorder is router `index` if all routers are alive. */
export function keyRecordedBy(fleet: RouterFleet, index: number): string {
  for (;;) {
    const key = fleet.newKey();
    if (fleet.recorderOf(streamOf(key)) === index) return key;
  }
}

/** A new key in the partition of another. */
export function keyInSamePartition(fleet: RouterFleet, other: string): string {
  for (;;) {
    const key = fleet.newKey();
    if (streamOf(key) === streamOf(other)) return key;
  }
}

/** Runs until the key's stream has a record. */
export function advanceUntilClaimed(fleet: RouterFleet, key: string): void {
  const {clock, log} = fleet.env;
  const endMs = clock.nowMs() + 1_000;
  while (log.read(streamOf(key), 0).end === 0) {
    if (clock.nowMs() > endMs) throw new Error('no claim was appended');
    clock.advance(1);
  }
}

/** Sends a request, runs the fleet for `waitMs` and returns the outcome. */
export function runRequest(
  fleet: RouterFleet,
  index: number,
  key: string,
  waitMs = 1_500,
): string {
  const reqId = fleet.request(index, key);
  fleet.env.clock.advance(waitMs);
  return outcomeText(fleet, reqId);
}

/** `completed`, `KIND CODE`, or `open` for a request that has not ended. */
export function outcomeText(fleet: RouterFleet, reqId: string): string {
  const outcome = fleet.env.journal.requests.get(reqId)?.outcome;
  if (!outcome) return 'open';
  return outcome.kind === 'completed'
    ? outcome.kind
    : `${outcome.kind} ${outcome.code}`;
}
