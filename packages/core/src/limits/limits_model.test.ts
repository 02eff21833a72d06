import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createLimitChecks} from '../mocks/limit_checks.js';
import {customerRow} from '../mocks/rows.js';
import {scheduleCount} from '../mocks/schedule_count.js';
import {
  startVirtualLimitFleet,
  type VirtualLimitFleet,
} from '../mocks/virtual_limit_fleet.js';
import {rendezvousFirst} from '../shared/rendezvous.js';
import {allocatorKey} from './allocator_key.js';

const NODES = 5;
const SEED = 20_250_802;
const CUSTOMER = customerRow({
  requestsPerSecond: 20,
  tokensPerSecond: 2_000,
  maxConcurrent: 12,
});
const FULL_LIMIT = {requests: 20, tokens: 2_000, concurrency: 12};

interface Step {
  kind:
    'load' | 'partition' | 'isolate_allocator' | 'heal' | 'restart' | 'wait';
  a: number;
  rate: number;
  waitMs: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    ...(['load', 'load', 'partition', 'isolate_allocator', 'heal'] as const),
    ...(['restart', 'wait'] as const),
  ),
  a: fc.integer({min: 0, max: NODES - 1}),
  rate: fc.constantFrom(0, 1, 8, 30),
  waitMs: fc.constantFrom(100, 700, 2_000, 4_000, 15_000),
});

function allocatorOf(addresses: string[]): string {
  return rendezvousFirst(allocatorKey(CUSTOMER.name), addresses)!;
}

function isolate(fleet: VirtualLimitFleet, side: string[]): void {
  for (const a of side) {
    for (const b of fleet.addresses) {
      if (!side.includes(b)) fleet.network.setPartition(a, b, true);
    }
  }
  fleet.updateViews();
}

function heal(fleet: VirtualLimitFleet): void {
  fleet.network.heal();
  fleet.updateViews();
}

function runSchedule(seed: number, steps: Step[]): void {
  const fleet = startVirtualLimitFleet(NODES, CUSTOMER, seed);
  const checks = createLimitChecks(fleet, CUSTOMER);
  for (const address of fleet.addresses) fleet.offered.set(address, 8);
  for (const {kind, a, rate, waitMs} of steps) {
    const address = fleet.addresses[a]!;
    if (kind === 'load') fleet.offered.set(address, rate);
    if (kind === 'partition') isolate(fleet, fleet.addresses.slice(0, a));
    if (kind === 'isolate_allocator') {
      isolate(fleet, [allocatorOf(fleet.addresses)]);
    }
    if (kind === 'heal') heal(fleet);
    if (kind === 'restart') fleet.restart(address);
    if (kind !== 'wait') checks.changed();
    fleet.run(waitMs, checks.check);
  }
}

test('no schedule exceeds twice the limit, or the limit once converged', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.array(step, {minLength: 3, maxLength: 7}),
      runSchedule,
    ),
    {numRuns: scheduleCount(), seed: SEED},
  );
});

test('the share of a router grows to the limit if only it has demand', () => {
  const fleet = startVirtualLimitFleet(NODES, CUSTOMER, SEED);
  fleet.offered.set(fleet.addresses[0]!, 80);
  fleet.run(9_000, () => undefined);
  const amounts = fleet.node(fleet.addresses[0]!).amounts(fleet.nowMs());
  assert.deepEqual(amounts, FULL_LIMIT);
});

test('a router that cannot reach its allocator uses its fallback share', () => {
  const fleet = startVirtualLimitFleet(NODES, CUSTOMER, SEED);
  const allocator = allocatorOf(fleet.addresses);
  const router = fleet.addresses.find(address => address !== allocator)!;
  fleet.offered.set(router, 80);
  fleet.run(9_000, () => undefined);
  fleet.network.setPartition(router, allocator, true);
  fleet.run(5_100, () => undefined);
  const amounts = fleet.node(router).amounts(fleet.nowMs());
  assert.deepEqual(amounts, {requests: 4, tokens: 400, concurrency: 2});
});
