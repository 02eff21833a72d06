import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGatewayFleet, type GatewayFleet} from '../mocks/gateway_fleet.js';
import {createTestRandom} from '../mocks/step_harness.js';

const QUIET_MS = 1_000;
/** Until the last engine that ended is back, and a lost reader replaced. */
const RECOVERY_MS = 3_500;
const ROUNDS = 60;

function registered(fleet: GatewayFleet): string[] {
  return fleet.engines
    .entries()
    .map(({id}) => id)
    .sort();
}

function assertAllKnow(fleet: GatewayFleet, gateways: number): void {
  const expected = registered(fleet);
  for (let i = 0; i < gateways; i++) {
    assert.deepEqual(fleet.usedBy(i), expected, `gateway ${i}`);
  }
}

// Six of seven gateways lost an engine for good that was removed and
// registered again while the reader repeated both changes.
for (const gateways of [7, 15]) {
  for (const backAfterMs of [100, 600, 1_500, 3_000]) {
    test(`LOST: ${gateways} gateways know an engine that is back after ${backAfterMs} ms`, () => {
      const fleet = createGatewayFleet({gateways, engines: 4, seed: 1});
      fleet.engines.setListed('e1', false);
      fleet.run(backAfterMs);
      fleet.engines.setListed('e1', true);
      fleet.run(QUIET_MS);
      assertAllKnow(fleet, gateways);
      // The changes are repeated with each message, and new records come.
      for (let i = 0; i < 5; i++) {
        fleet.engines.renew();
        fleet.run(QUIET_MS);
        assertAllKnow(fleet, gateways);
      }
    });
  }
}

function anyEngine(fleet: GatewayFleet, random: () => number): string {
  const ids = fleet.engines.ids();
  return ids[Math.floor(random() * ids.length)]!;
}

/** An engine leaves the list, or comes back. */
function relist(fleet: GatewayFleet, random: () => number): void {
  const id = anyEngine(fleet, random);
  const listed = registered(fleet).includes(id);
  fleet.engines.setListed(id, !listed);
}

/** Gateways that are cut off or start anew, the first readers among them. */
function disturbGateways(
  fleet: GatewayFleet,
  random: () => number,
  gateways: number,
): void {
  const index = Math.floor(random() * random() * gateways);
  if (random() < 0.5) fleet.restart(index);
  else {
    fleet.cut(index, true);
    fleet.run(300 + random() * 3_000);
    fleet.cut(index, false);
  }
}

for (const [gateways, engines, seeds] of [
  [7, 14, 40],
  [73, 45, 3],
  [195, 112, 1],
] as const) {
  for (let seed = 1; seed <= seeds; seed++) {
    test(`LOST: after a quiet second ${gateways} gateways know what the store lists, seed ${seed}`, () => {
      const cfg = {gateways, engines, seed, loss: 0.1, repeats: 0.2};
      const network = {...cfg, keepEngineIds: seed % 2 === 0};
      const fleet = createGatewayFleet(network);
      const random = createTestRandom(seed + 1_000);
      for (let round = 0; round < ROUNDS; round++) {
        if (round % 5 === 0) fleet.engines.renew();
        relist(fleet, random);
        if (random() < 0.1) fleet.engines.stop(anyEngine(fleet, random));
        if (random() < 0.1) disturbGateways(fleet, random, gateways);
        fleet.run(random() * 400);
      }
      fleet.run(RECOVERY_MS);
      relist(fleet, random);
      fleet.run(random() * 400);
      relist(fleet, random);
      network.loss = 0;
      fleet.run(QUIET_MS);
      assertAllKnow(fleet, gateways);
    });
  }
}
