import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {FleetCommand} from '../mocks/fleet_command.js';
import {createObservedFleet} from '../mocks/fleet_observer.js';
import {endFaults, runCommand} from '../mocks/run_command.js';

const SCHEDULES = Number(process.env['WL_SCHEDULES'] ?? 100);
const SEED = Number(process.env['WL_SEED'] ?? 1);
const CONVERGENCE_LIMIT_MS = 60_000;
/** Dead members outnumber the alive ones until they are removed. */
const ORPHAN_LIMIT_MS = 800_000;

const commands: fc.Arbitrary<FleetCommand[]> = fc.array(
  fc.record({
    kind: fc.constantFrom<FleetCommand['kind'][]>(
      'crash',
      'start',
      'restart',
      'pause',
      'cut_off_domain',
      'cut_domain_pair',
      'cut_off_router',
      'cut_off_from_peers',
      'join',
      'loss',
      'request',
      'request',
      'request',
      'cancel',
      'leave',
      'restart_engine',
    ),
    index: fc.nat(20),
    amount: fc.nat(1_000),
    waitMs: fc.nat(12_000),
  }),
  {minLength: 5, maxLength: 25},
);

/** Runs one schedule and returns the violations found. */
function findViolations(seed: number, size: number, schedule: FleetCommand[]) {
  const observed = createObservedFleet({seed, routers: size, engines: 3});
  const {fleet, violations} = observed;
  observed.run(10_000);
  for (const router of fleet.routers) fleet.request(router);
  for (const command of schedule) runCommand(observed, command);
  endFaults(observed);
  if (!observed.runUntil(observed.membershipConverged, CONVERGENCE_LIMIT_MS)) {
    violations.push('members disagree after the faults');
  }
  const clean = () => observed.orphanCount() === 0;
  if (!observed.runUntil(clean, ORPHAN_LIMIT_MS)) {
    violations.push('orphans remain');
  }
  // Restarted engines must serve again.
  observed.run(10_000);
  const used = new Set<string>();
  for (const router of fleet.routers) {
    for (let i = 0; i < 6; i++) fleet.request(router);
    for (const endpoint of router.attempts.values()) used.add(endpoint);
  }
  const anyRunning = fleet.routers.some(router => router.running);
  if (anyRunning && used.size < 3) violations.push('an engine gets no work');
  return violations;
}

test('members, endpoint state and sessions survive faulty schedules', () => {
  fc.assert(
    fc.property(fc.nat(), fc.integer({min: 2, max: 7}), commands, (...args) =>
      assert.deepEqual(findViolations(...args), []),
    ),
    {seed: SEED, numRuns: SCHEDULES, includeErrorInReport: true},
  );
});
