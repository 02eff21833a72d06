import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {scheduleCount} from '../mocks/schedule_count.js';
import {createTableChecks} from '../mocks/table_checks.js';
import {createVirtualOperator} from '../mocks/virtual_operator.js';
import {
  startVirtualTableFleet,
  type VirtualTableFleet,
} from '../mocks/virtual_table_fleet.js';
import {parseTableRecord} from './parse_table_record.js';

const NODES = 5;
const RETENTION_MS = 6_000;
const SEED = 20_250_801;

interface Step {
  kind:
    | 'edit'
    | 'race'
    | 'repeat'
    | 'log_down'
    | 'cut_log'
    | 'cut'
    | 'split'
    | 'heal'
    | 'restart'
    | 'wait';
  a: number;
  b: number;
  waitMs: number;
}

const nodeIndex = fc.integer({min: 0, max: NODES - 1});
const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    ...(['edit', 'edit', 'edit', 'race', 'repeat', 'log_down'] as const),
    ...(['cut_log', 'cut', 'split', 'heal', 'heal', 'restart'] as const),
    ...(['restart', 'wait'] as const),
  ),
  a: nodeIndex,
  b: nodeIndex,
  waitMs: fc.constantFrom(0, 50, 300, 900, 3_500),
});

function split(fleet: VirtualTableFleet, size: number): void {
  const {addresses, network} = fleet;
  for (const a of addresses.slice(0, size)) {
    for (const b of addresses.slice(size)) network.setPartition(a, b, true);
  }
}

function isolateFromLog(fleet: VirtualTableFleet, addresses: string[]): void {
  for (const a of addresses) fleet.network.setPartition(a, 'log', true);
}

function runSchedule(seed: number, steps: Step[]): void {
  const fleet = startVirtualTableFleet(NODES, RETENTION_MS, seed);
  const checks = createTableChecks(fleet);
  const operator = createVirtualOperator(fleet);
  operator.edit(fleet.addresses[0]!);
  fleet.run(500, checks.check);
  for (const {kind, a, b, waitMs} of steps) {
    const first = fleet.addresses[a]!;
    const second = fleet.addresses[b]!;
    if (kind === 'edit' || kind === 'race') operator.edit(first);
    if (kind === 'race') operator.edit(second);
    if (kind === 'repeat') operator.repeat();
    if (kind === 'log_down') isolateFromLog(fleet, fleet.addresses);
    if (kind === 'cut_log') isolateFromLog(fleet, [first]);
    if (kind === 'cut' && a !== b)
      fleet.network.setPartition(first, second, true);
    if (kind === 'split') split(fleet, a);
    if (kind === 'heal') fleet.network.heal();
    if (kind === 'restart') fleet.restart(first);
    if (!['edit', 'race', 'repeat', 'wait'].includes(kind)) {
      checks.connectivityChanged();
    }
    fleet.run(waitMs, checks.check);
  }
  fleet.network.heal();
  checks.connectivityChanged();
  fleet.run(4_000, checks.check);
}

test('no schedule makes tables diverge, go back or stay behind', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.array(step, {minLength: 5, maxLength: 25}),
      runSchedule,
    ),
    {numRuns: scheduleCount(), seed: SEED},
  );
});

test('a usable snapshot stays retained while routers restart', () => {
  const fleet = startVirtualTableFleet(NODES, RETENTION_MS, SEED);
  const checks = createTableChecks(fleet);
  createVirtualOperator(fleet).edit(fleet.addresses[0]!);
  for (let round = 0; round < 20; round++) {
    fleet.run(RETENTION_MS / 4, checks.check);
    fleet.restart(fleet.addresses[round % NODES]!);
    checks.connectivityChanged();
  }
  const earliest = fleet.log.earliest(fleet.nowMs());
  const usable = fleet.log.retained(fleet.nowMs()).filter(({data}) => {
    const record = parseTableRecord(data);
    if (!record.ok || record.val.type !== 'snapshot') return false;
    return record.val.next >= earliest;
  });
  assert.ok(usable.length > 0, 'no usable snapshot is retained');
  // One for each quarter of the retention period, and some duplicates.
  assert.ok(fleet.log.end() < 60, `${fleet.log.end()} records`);
});
