import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {FleetJournal} from '../mocks/fleet_journal.js';
import {
  fleetSchedules,
  applyOperation,
  type FleetOperation,
} from '../mocks/fleet_operation.js';
import {fleetViolations} from '../mocks/fleet_violations.js';
import {createRouterFleet} from '../mocks/router_fleet.js';

const SCHEDULES = Number(process.env['WL_SCHEDULES'] ?? 200);
const SEED = Number(process.env['WL_SEED'] ?? 42);
/** Longest fault plus the timeout of a request that waited until it ended. */
const QUIESCENCE_MS = 6_000;

function runSchedule(schedule: FleetOperation[], seed: number): FleetJournal {
  const fleet = createRouterFleet(3, seed);
  const {clock, faults, journal} = fleet.env;
  faults.failedAttempts = 0.3;
  const keys: string[] = [];
  for (const operation of schedule) {
    applyOperation(fleet, operation, keys);
    clock.advance(operation.gapMs);
  }
  clock.advance(QUIESCENCE_MS);
  return journal;
}

test('no fault schedule runs a key twice, misreports or exceeds a timeout', () => {
  const outcomes = new Map<string, number>();
  fc.assert(
    fc.property(fleetSchedules(), fc.nat(), (schedule, seed) => {
      const journal = runSchedule(schedule, seed);
      assert.deepEqual(fleetViolations(journal), []);
      for (const {outcome} of journal.requests.values()) {
        const kind = outcome?.kind ?? 'crashed';
        outcomes.set(kind, (outcomes.get(kind) ?? 0) + 1);
      }
    }),
    {numRuns: SCHEDULES, seed: SEED, includeErrorInReport: true},
  );
  console.log(`${SCHEDULES} schedules:`, Object.fromEntries(outcomes));
  // Refusing every request would violate no invariant either.
  assert.ok((outcomes.get('completed') ?? 0) >= SCHEDULES);
});
