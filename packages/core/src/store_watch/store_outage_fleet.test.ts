import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGatewayFleet, type GatewayFleet} from '../mocks/gateway_fleet.js';

const OUTAGE_MS = 4_500;
/** The store counts as stable again after this time. */
const STABLE_AFTER_MS = 3_000;
/** An engine that left must not be used for longer. */
const DRAIN_MS = 2_000;
const GATEWAYS = 7;

function playOutage(fleet: GatewayFleet, forMs = OUTAGE_MS): void {
  fleet.store.reachable = false;
  fleet.run(forMs);
  fleet.store.reachable = true;
}

/** Gateways that use an engine, but for those left out. */
function usersOf(
  fleet: GatewayFleet,
  engine: string,
  gateways: number,
  except: readonly number[] = [],
): number[] {
  return Array.from({length: gateways}, (_, i) => i).filter(
    i => !except.includes(i) && fleet.usedBy(i).includes(engine),
  );
}

// A read that had failed in an outage was remembered until the gateway read
// by itself again, minutes later, and entries missing then were retained.
for (const gateways of [GATEWAYS, 73]) {
  for (const calmMs of [STABLE_AFTER_MS, 8_000, 60_000]) {
    test(`DRAIN: ${gateways} gateways drop an engine in time that leaves as the reader dies, ${calmMs} ms after an outage`, () => {
      const fleet = createGatewayFleet({gateways, engines: 6, seed: 1});
      playOutage(fleet);
      fleet.run(calmMs);
      fleet.cut(0, true);
      fleet.run(100);
      fleet.engines.setListed('e1', false);
      fleet.run(DRAIN_MS);
      assert.deepEqual(usersOf(fleet, 'e1', gateways, [0]), []);
    });
  }
}

for (const outages of [1, 2, 3]) {
  test(`endpoints that the store drops in ${outages} outages in a row stay until they are back`, () => {
    const fleet = createGatewayFleet({gateways: GATEWAYS, engines: 6, seed: 2});
    fleet.engines.setListed('e1', false);
    fleet.engines.setListed('e1', true);
    fleet.run(1_000);
    fleet.store.reachable = false;
    fleet.run(OUTAGE_MS);
    fleet.engines.setListed('e1', false);
    for (let i = 0; i < outages; i++) {
      fleet.store.reachable = true;
      fleet.run(1_200);
      assert.equal(usersOf(fleet, 'e1', GATEWAYS).length, GATEWAYS);
      if (i === outages - 1) break;
      playOutage(fleet);
    }
    fleet.engines.setListed('e1', true);
    fleet.run(2_000);
    assert.equal(usersOf(fleet, 'e1', GATEWAYS).length, GATEWAYS);
  });

  test(`endpoints that stay away after ${outages} outages are gone two seconds after the last`, () => {
    const fleet = createGatewayFleet({gateways: GATEWAYS, engines: 6, seed: 3});
    for (let i = 0; i < outages; i++) playOutage(fleet);
    fleet.engines.setListed('e1', false);
    // Until the first read after the outage, and the next one after that.
    fleet.run(1_500 + 2_000);
    assert.deepEqual(usersOf(fleet, 'e1', GATEWAYS), []);
  });
}

test('DRAIN: a gateway that was cut off drops an engine that left meanwhile before it is in touch', () => {
  const fleet = createGatewayFleet({gateways: GATEWAYS, engines: 6, seed: 4});
  fleet.cut(4, true);
  fleet.run(OUTAGE_MS);
  fleet.engines.setListed('e1', false);
  fleet.run(DRAIN_MS);
  fleet.cut(4, false);
  fleet.run(STABLE_AFTER_MS);
  assert.deepEqual(usersOf(fleet, 'e1', GATEWAYS), []);
});
