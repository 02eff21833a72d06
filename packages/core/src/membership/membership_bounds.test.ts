import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createObservedFleet} from '../mocks/fleet_observer.js';

/** A round of probes, the suspicion time and the spread of the suspicion. */
const DETECTION_LIMIT_MS = 30_000;
const LOSS = 0.1;

for (const size of [3, 7, 56]) {
  test(`all of ${size} routers detect a crash within the limit`, () => {
    for (let seed = 1; seed <= 5; seed++) {
      const observed = createObservedFleet({seed, routers: size, engines: 1});
      const {fleet} = observed;
      assert.ok(
        observed.runUntil(observed.membershipConverged, 30_000),
        'joined',
      );
      fleet.network.loss = LOSS;
      observed.run(30_000);
      fleet.routers[size - 1]!.crash();
      const gone = fleet.routers[size - 1]!.address;
      const found = () => fleet.routers.every(r => !r.alive.has(gone));
      fleet.routers[size - 1]!.alive.clear();
      assert.ok(observed.runUntil(found, DETECTION_LIMIT_MS), `seed ${seed}`);
      assert.deepEqual(observed.violations, []);
    }
  });
}

test('112 routers learn of a leaving endpoint within the limit', () => {
  const observed = createObservedFleet({seed: 1, routers: 112, engines: 2});
  const {fleet} = observed;
  observed.run(40_000);
  fleet.network.loss = LOSS;
  observed.leave(fleet.engines[0]!, fleet.routers[0]!);
  observed.run(5_100);
  for (const router of fleet.routers) {
    for (let i = 0; i < 4; i++) fleet.request(router);
  }
  assert.deepEqual(observed.violations, []);
});
