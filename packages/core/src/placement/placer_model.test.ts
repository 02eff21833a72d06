import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {chooseEngines} from './choose_engines.js';
import type {PlacerFault} from './mocks/placer_fault.js';
import {fleetRows, runPlacerSimulation} from './mocks/placer_simulation.js';

const SCHEDULES = Number(process.env['WL_SCHEDULES'] ?? 100);
const SEED = Number(process.env['WL_SEED'] ?? 20_261_204);
const LAST_FAULT_MS = 14_000;
/** Every fault has ended by then. */
const QUIET_FROM_MS = 18_000;
/** Time for a takeover, for loads and for one repeat of a lost order. */
const END_MS = QUIET_FROM_MS + 22_000;

const FAULT: fc.Arbitrary<PlacerFault> = fc.record({
  kind: fc.constantFrom(
    'crash',
    'cut',
    'cut',
    'lost_answers',
    'outage',
    'pause',
    'pause',
    'restart',
    'slow',
    'slow',
    'stop',
  ),
  target: fc.nat({max: 2}),
  fromMs: fc.nat({max: 2_000}),
  forMs: fc.integer({min: 100, max: 3_000}),
});

/**
 * A placer whose messages are slow and that is then partitioned: a message
 * that arrives late must not extend its lease, because the placer cannot learn
 * about the next holder.
 */
const SLOW_THEN_CUT: fc.Arbitrary<PlacerFault[]> = fc
  .record({
    target: fc.nat({max: 2}),
    fromMs: fc.nat({max: LAST_FAULT_MS - 2_000}),
    slowMs: fc.integer({min: 300, max: 2_000}),
    cutMs: fc.integer({min: 1_000, max: 2_000}),
  })
  .map(({target, fromMs, slowMs, cutMs}) => [
    {kind: 'slow', target, fromMs, forMs: slowMs},
    {kind: 'cut', target, fromMs: fromMs + slowMs, forMs: cutMs},
  ]);

/** Overlapping faults reach more states than isolated ones. */
const BURST: fc.Arbitrary<PlacerFault[]> = fc
  .tuple(
    fc.nat({max: LAST_FAULT_MS - 2_000}),
    fc.array(FAULT, {minLength: 1, maxLength: 6}),
  )
  .map(([startMs, faults]) =>
    faults.map(fault => ({...fault, fromMs: startMs + fault.fromMs})),
  );

test('placers under faults: one lease holder, placement converges', () => {
  const rows = fleetRows();
  const chosen = chooseEngines('coder', rows, 2);
  let leases = 0;
  fc.assert(
    fc.property(
      fc.nat(),
      fc.array(fc.oneof(BURST, SLOW_THEN_CUT), {maxLength: 8}),
      (simulationSeed, bursts) => {
        const end = runPlacerSimulation(simulationSeed, bursts.flat(), END_MS);
        leases += end.leases;
        for (const {name, report} of end.engines) {
          const {models, adapters, role} = report();
          const serves = chosen.includes(name);
          assert.deepEqual(models, serves ? ['coder@2'] : [], name);
          if (!serves) continue;
          assert.deepEqual(adapters, ['coder/isic'], name);
          assert.equal(role, 'mixed', name);
        }
      },
    ),
    {numRuns: SCHEDULES, seed: SEED},
  );
  assert.ok(leases > SCHEDULES, 'too few changes of the lease holder');
});
