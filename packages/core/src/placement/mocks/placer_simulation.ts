import assert from 'node:assert/strict';
import {createTestLog} from '../../lease/mocks/test_log.js';
import {endpointRow} from '../../mocks/rows.js';
import {createTestRandom} from '../../mocks/step_harness.js';
import {additions, editAt} from '../../mocks/table_records.js';
import type {EndpointRow} from '../../types/endpoint_row.js';
import {createFleetEngine, type FleetEngine} from './fleet_engine.js';
import {modelRow} from './model_rows.js';
import type {PlacerFault} from './placer_fault.js';
import {createPlacerProcess, type PlacerProcess} from './placer_process.js';
import type {SimulationEnvironment} from './simulation_environment.js';

const TICK_MS = 50;
/** Clock rates; they differ by less than the margin of the lease. */
const CLOCK_RATES = [0.97, 1, 1.03];
const PLACERS = 3;
/** Few enough that a reader which stops for a few seconds misses some. */
const RETAINED_RECORDS = 8;
/** Longest delay of a message while a placer is slow. */
const MAX_SLOW_DELAY_MS = 1_500;
const EDIT_AT_MS = 6_000;

/** Engines that check tokens and engines that do not, in three domains. */
export function fleetRows(): EndpointRow[] {
  return [1, 2, 3, 4].map(n =>
    endpointRow({
      name: `engine-${n}`,
      failureDomain: `amman-${n % 3}`,
      checksFencing: n % 2 === 0,
    }),
  );
}

/** Result of a simulation. */
export interface SimulationResult {
  engines: FleetEngine[];
  /** Number of leases that were held in the run. */
  leases: number;
}

/**
 * Runs placers against a log and engines under faults, and checks at every
 * tick of true time that at most one considers the lease its own.
 */
export function runPlacerSimulation(
  seed: number,
  faults: PlacerFault[],
  endMs: number,
): SimulationResult {
  const random = createTestRandom(seed);
  const due = new Map<number, (() => void)[]>();
  const rows = fleetRows();
  const engines = rows.map(row =>
    createFleetEngine(row.name, row.checksFencing),
  );
  const tokens = new Set<number>();
  let newestToken = -1;
  let nowMs = 0;
  let starts = 0;

  const env: SimulationEnvironment = {
    log: createTestLog(RETAINED_RECORDS),
    engines: new Map(engines.map(engine => [engine.name, engine])),
    random,
    nowMs: () => nowMs,
    checkOrderToken,
    after: (ms, work) => {
      const tick = Math.floor((nowMs + ms) / TICK_MS) + 1;
      due.set(tick, [...(due.get(tick) ?? []), work]);
    },
    delayMs: machine =>
      random() * (env.faultActive('slow', machine) ? MAX_SLOW_DELAY_MS : 60),
    faultActive: (kind, target) =>
      faults.some(
        fault =>
          fault.kind === kind &&
          nowMs >= fault.fromMs &&
          nowMs < fault.fromMs + fault.forMs &&
          (target === undefined || fault.target === target),
      ),
  };

  function startPlacer(machine: number): PlacerProcess {
    starts += 1;
    const rate = CLOCK_RATES[machine % CLOCK_RATES.length] ?? 1;
    return createPlacerProcess(env, machine, starts, rate);
  }

  function edit(version: string, offset: number, base: number): void {
    const model = modelRow({version});
    const first = offset === 0 ? additions(rows) : [];
    const key = 'model/coder' as const;
    const changes = [...first, {key, base, row: model}];
    env.log.append('table', editAt(offset, changes).data);
  }

  edit('1', 0, 0);
  const placers = Array.from({length: PLACERS}, (_, i) => startPlacer(i));

  function applyFaults(): void {
    for (const {kind, target, fromMs} of faults) {
      if (fromMs < nowMs || fromMs >= nowMs + TICK_MS) continue;
      const placer = placers[target % PLACERS];
      if (kind === 'crash') placers[target % PLACERS] = startPlacer(target);
      if (kind === 'stop') placer?.push({kind: 'stop_requested'});
      if (kind === 'restart') engines[target % engines.length]?.restart();
    }
  }

  function believedTokens(): number[] {
    return placers
      .map(placer => placer.believedToken())
      .filter(token => token !== undefined);
  }

  function checkOrderToken(token: number): void {
    for (const believed of believedTokens()) {
      assert.equal(token, believed, `order of a stale lease at ${nowMs} ms`);
    }
  }

  function checkHolder(): void {
    const believed = believedTokens();
    assert.ok(
      believed.length <= 1,
      `two lease holders at ${nowMs} ms, tokens ${believed.join()}`,
    );
    for (const token of believed) {
      assert.ok(token >= newestToken, `token ${token} at ${nowMs} ms is stale`);
      newestToken = token;
      tokens.add(token);
    }
  }

  for (; nowMs < endMs; nowMs += TICK_MS) {
    if (nowMs === EDIT_AT_MS) edit('2', 1, 1);
    applyFaults();
    for (const work of due.get(nowMs / TICK_MS) ?? []) work();
    due.delete(nowMs / TICK_MS);
    checkHolder();
    for (const [machine, placer] of placers.entries()) {
      if (env.faultActive('pause', machine)) continue;
      placer.run();
      if (placer.exited()) placers[machine] = startPlacer(machine);
      checkHolder();
    }
  }
  return {engines, leases: tokens.size};
}
