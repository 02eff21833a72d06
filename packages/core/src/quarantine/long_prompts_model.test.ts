import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGatewayFleet} from '../mocks/gateway_fleet.js';
import {
  arrivalsOf,
  begunAtOnce,
  DEADLY_PART,
  playParts,
} from '../mocks/part_traffic.js';

const STABLE_AFTER_MS = 3_000;
const CRASHES_UNTIL_BUDGET = 5;
const MAX_SENT_AFTER = 3;
const MIN_BEGUN_SHARE = 0.5;
const DAY_MS = 16_000;
const SECOND_MS = 1_000;

function partIds(count: number): string[] {
  return Array.from({length: count}, (_, i) => `${4_096 + i}`);
}

// A deadly part that stands behind many others was never refused.
for (const [gateways, engines, parts, everyMs] of [
  [7, 14, 18, 100],
  [7, 14, 100, 100],
  [7, 14, 1_000, 100],
  [73, 40, 100, 50],
] as const) {
  test(`BUDGET: ${gateways} gateways refuse the last of ${parts} shared parts`, () => {
    const fleet = createGatewayFleet({gateways, engines, seed: 1});
    const startMs = fleet.nowMs();
    const before = partIds(parts - 2);
    playParts(fleet, {gateways, forMs: DAY_MS, everyMs, share: 0.2, before});
    const fifth = fleet.engines.crashes[CRASHES_UNTIL_BUDGET - 1];
    const late = fifth
      ? arrivalsOf(fleet, DEADLY_PART, fifth.atMs + STABLE_AFTER_MS)
      : 0;
    assert.ok(fleet.engines.crashes.length > 0);
    assert.ok(late <= MAX_SENT_AFTER, `${late}`);
    const begun = begunAtOnce(fleet, startMs + 2 * STABLE_AFTER_MS);
    assert.ok(begun >= MIN_BEGUN_SHARE, `${begun}`);
  });
}

// Each of the parts was convicted, beside all others: the square of a hundred.
test('parts that are only ever seen together get one verdict', () => {
  const fleet = createGatewayFleet({gateways: 7, engines: 14, seed: 2});
  fleet.engines.deadly.add(DEADLY_PART);
  const sharedParts = [...partIds(99), DEADLY_PART];
  for (let i = 0; i < 20; i++) {
    fleet.send(i % 7, {sharedParts});
    fleet.run(SECOND_MS);
  }
  const convicted = new Set(fleet.logged('WL8503').map(({part}) => part));
  assert.equal(convicted.size, 1);
  const sent = arrivalsOf(fleet, DEADLY_PART);
  assert.ok(sent <= CRASHES_UNTIL_BUDGET + MAX_SENT_AFTER, `${sent}`);
});

test('the cause is convicted once a verdict that covered it is lifted', () => {
  const fleet = createGatewayFleet({gateways: 7, engines: 14, seed: 2});
  fleet.engines.deadly.add(DEADLY_PART);
  const first = partIds(9);
  for (let i = 0; i < 10; i++) {
    fleet.send(i % 7, {sharedParts: [...first, DEADLY_PART]});
    fleet.run(SECOND_MS);
  }
  const before = arrivalsOf(fleet, DEADLY_PART);
  // A gateway that has seen none of the engines end.
  fleet.send(6, {sharedParts: first});
  fleet.run(SECOND_MS);
  for (let i = 0; i < 7; i++) {
    const other = fleet.send(i, {sharedParts: ['another', DEADLY_PART]});
    assert.equal(other.refusal, 'quarantined');
  }
  fleet.run(SECOND_MS);
  assert.equal(arrivalsOf(fleet, DEADLY_PART), before);
});
