import fc from 'fast-check';
import {partitionOf, partitionStream} from '../claims/claim_key.js';
import type {RouterFleet} from './router_fleet.js';

/** Kind of an operation on a fleet. */
export type FleetOperationKind =
  | 'request'
  | 'duplicate'
  | 'race'
  | 'cancel'
  | 'crash'
  | 'pause'
  | 'drain'
  | 'log_outage'
  | 'slow_log'
  | 'lost_answers'
  | 'lossy_peers'
  | 'slow_peers'
  | 'trim'
  | 'members';

/** One operation of a schedule. */
export interface FleetOperation {
  kind: FleetOperationKind;
  node: number;
  /** Key, mask or number of records, depending on `kind`. */
  pick: number;
  /** Duration of a fault. */
  durationMs: number;
  /** Time until the next operation. */
  gapMs: number;
}

const WEIGHTS: [FleetOperationKind, number][] = [
  ['request', 5],
  ['duplicate', 6],
  ['race', 4],
  ['cancel', 1],
  ['crash', 2],
  ['pause', 3],
  ['drain', 1],
  ['log_outage', 1],
  ['slow_log', 1],
  ['lost_answers', 2],
  ['lossy_peers', 2],
  ['slow_peers', 1],
  ['trim', 1],
  ['members', 2],
];

/** Arbitrary schedules of one fleet. */
export function fleetSchedules(): fc.Arbitrary<FleetOperation[]> {
  const operation = fc.record({
    kind: fc.oneof(
      ...WEIGHTS.map(([kind, weight]) => ({
        arbitrary: fc.constant(kind),
        weight,
      })),
    ),
    node: fc.nat(2),
    pick: fc.nat(15),
    durationMs: fc.integer({min: 20, max: 3_000}),
    gapMs: fc.nat(400),
  });
  return fc.array(operation, {minLength: 5, maxLength: 50, size: 'max'});
}

/** Carries out one operation; `keys` are those used so far. */
export function applyOperation(
  fleet: RouterFleet,
  operation: FleetOperation,
  keys: string[],
): void {
  const {kind, node, pick, durationMs} = operation;
  const {clock, faults, log, journal} = fleet.env;
  const router = fleet.node(node);
  const key = keys[keys.length - 1 - (pick % 3)] ?? fleet.newKey();
  switch (kind) {
    case 'request':
      keys.push(fleet.newKey());
      fleet.request(node, keys.at(-1)!);
      break;
    case 'duplicate':
      fleet.request(node, key);
      break;
    case 'race':
      fleet.request(node, key);
      fleet.request((node + 1) % 3, key);
      break;
    case 'cancel': {
      const reqId = [...journal.requests.keys()].at(-1) ?? '';
      for (const i of [0, 1, 2]) {
        fleet.node(i).deliver({kind: 'request_cancelled', reqId});
      }
      break;
    }
    case 'crash':
      router.crash();
      clock.after(durationMs, () => fleet.restart(node));
      break;
    case 'pause':
      router.pause(durationMs);
      break;
    case 'drain':
      router.deliver({kind: 'stop_requested'});
      break;
    case 'trim':
      log.trim(partitionStream(partitionOf(`clerks/${key}`)), pick % 3);
      break;
    case 'members':
      fleet.setAlive(
        node,
        fleet.addresses.filter((_, i) => (pick >> i) % 2 === 1),
      );
      break;
    case 'log_outage':
      return applyFault(fleet, durationMs, 'logDown', true, false);
    case 'slow_log':
      return applyFault(fleet, durationMs, 'logLatencyMs', 1_200, 10);
    case 'lost_answers':
      faults.lostAppends = 0.3;
      clock.after(durationMs, () => (faults.lostAppends = 0));
      return applyFault(fleet, durationMs, 'lostAnswers', 0.5, 0);
    case 'lossy_peers':
      faults.repeatedMessages = 0.3;
      clock.after(durationMs, () => (faults.repeatedMessages = 0));
      return applyFault(fleet, durationMs, 'lostMessages', 0.5, 0);
    case 'slow_peers':
      return applyFault(fleet, durationMs, 'peerLatencyMs', 1_500, 10);
  }
}

/** Sets a fault for a duration. */
function applyFault<K extends keyof RouterFleet['env']['faults']>(
  fleet: RouterFleet,
  durationMs: number,
  fault: K,
  value: RouterFleet['env']['faults'][K],
  healthy: RouterFleet['env']['faults'][K],
): void {
  const {clock, faults} = fleet.env;
  faults[fault] = value;
  clock.after(durationMs, () => (faults[fault] = healthy));
}
