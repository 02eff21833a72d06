import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  advanceUntilClaimed,
  ask,
  endOf,
  keyBeside,
  keyRecordedBy,
  streamOf,
} from '../mocks/fleet_probes.js';
import {fleetViolations} from '../mocks/fleet_violations.js';
import {createRouterFleet, type RouterFleet} from '../mocks/router_fleet.js';

interface ClaimCase {
  /** Failure that the case guards against. */
  name: string;
  /** Returns how requests ended, in order. */
  play(fleet: RouterFleet): string[];
  ends: string[];
  runs: number;
}

const DONE = 'outcome_unknown claim_already_done';
const IN_PROGRESS = 'outcome_unknown claim_owned_in_progress';
const UNKNOWN = 'outcome_unknown claim_outcome_unknown';

const CASES: ClaimCase[] = [
  {
    name: 'a claim of a crashed owner passes to nobody',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).crash();
      return [
        ask(fleet, 2, key, 2_500),
        ask(fleet, 2, key),
        ask(fleet, 1, key),
      ];
    },
    ends: [IN_PROGRESS, UNKNOWN, UNKNOWN],
    runs: 0,
  },
  {
    name: 'a paused owner that wakes after the deadline does not dispatch',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      fleet.node(0).pause(3_000);
      fleet.world.clock.advance(3_500);
      return [endOf(fleet, reqId), ask(fleet, 2, key)];
    },
    ends: ['rejected_not_run queue_timeout', 'completed'],
    runs: 1,
  },
  {
    name: 'a claim with a lost answer that is sent again is not a duplicate',
    play: fleet => {
      fleet.world.faults.lostAnswers = 1;
      fleet.world.faults.logLatencyMs = 700;
      return [0, 1, 2].map(i => ask(fleet, i, fleet.newKey(), 2_000));
    },
    ends: ['completed', 'completed', 'completed'],
    runs: 3,
  },
  {
    name: 'a duplicate through another router is not dispatched',
    play: fleet => {
      const key = fleet.newKey();
      const ids = [0, 1].map(i => fleet.request(i, key));
      fleet.world.clock.advance(1_000);
      const ends = ids.map(id => endOf(fleet, id)).sort();
      return [...ends, ask(fleet, 2, key)];
    },
    ends: ['completed', IN_PROGRESS, DONE],
    runs: 1,
  },
  {
    name: 'a key in upper case is the same key',
    play: fleet => {
      const key = fleet.newKey();
      return [ask(fleet, 0, key), ask(fleet, 1, key.toUpperCase())];
    },
    ends: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a wrong recorder reaches the same verdict',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.setAlive(0, []);
      return [ask(fleet, 0, key), ask(fleet, 1, key), ask(fleet, 0, key)];
    },
    ends: ['completed', DONE, DONE],
    runs: 1,
  },
  {
    name: 'two recorders at once grant a key to one claim',
    play: fleet => {
      const key = fleet.newKey();
      for (const i of [0, 1, 2]) fleet.setAlive(i, []);
      const ids = [0, 1, 2].map(i => fleet.request(i, key));
      fleet.world.clock.advance(1_000);
      return ids.map(id => endOf(fleet, id)).sort();
    },
    ends: ['completed', IN_PROGRESS, IN_PROGRESS],
    runs: 1,
  },
  {
    name: 'without the log nothing is dispatched, and the key stays usable',
    play: fleet => {
      const key = fleet.newKey();
      fleet.world.faults.logDown = true;
      const during = ask(fleet, 0, key);
      fleet.world.faults.logDown = false;
      return [during, ask(fleet, 1, key)];
    },
    ends: ['rejected_not_run log_unavailable', 'completed'],
    runs: 1,
  },
  {
    name: 'a reader of a trimmed partition refuses keys it cannot vouch for',
    play: fleet => {
      const key = fleet.newKey();
      const before = ask(fleet, 0, key);
      fleet.world.log.trim(streamOf(key), 0);
      for (const i of [0, 1, 2]) {
        fleet.node(i).crash();
        fleet.restart(i);
      }
      fleet.world.clock.advance(100);
      const old = ask(fleet, 1, key);
      return [before, old, ask(fleet, 2, keyBeside(fleet, key))];
    },
    ends: ['completed', 'rejected_not_run key_expired', 'completed'],
    runs: 2,
  },
  {
    name: 'a wholly trimmed partition becomes usable after a crashed owner',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const before = ask(fleet, 0, key);
      fleet.world.log.trim(streamOf(key), 0);
      for (const i of [0, 1, 2]) {
        fleet.node(i).crash();
        fleet.restart(i);
      }
      fleet.world.clock.advance(100);
      fleet.request(0, keyBeside(fleet, key));
      fleet.world.clock.advance(5);
      fleet.node(0).crash();
      fleet.world.clock.advance(1_000);
      const first = ask(fleet, 2, keyBeside(fleet, key));
      return [before, first, ask(fleet, 2, keyBeside(fleet, key))];
    },
    ends: ['completed', 'rejected_not_run key_expired', 'completed'],
    runs: 2,
  },
  {
    name: 'a recorder that was idle does not answer from what it knew before',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.world.clock.advance(40);
      fleet.setAlive(0, []);
      fleet.world.faults.logDown = true;
      fleet.world.clock.advance(40_000);
      fleet.world.faults.logDown = false;
      fleet.world.clock.advance(6_000);
      return [endOf(fleet, reqId), ask(fleet, 1, key)];
    },
    ends: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a drain waits for a claim in flight and records its outcome',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      fleet.node(0).deliver({kind: 'stop_requested'});
      fleet.world.clock.advance(2_000);
      assert.equal(fleet.node(0).incarnation, 2, 'the drain never ended');
      return [endOf(fleet, reqId), ask(fleet, 2, key)];
    },
    ends: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a verdict for an earlier incarnation does not reach the next',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).crash();
      fleet.restart(0);
      fleet.world.clock.advance(100);
      return [
        ask(fleet, 0, key, 2_500),
        ask(fleet, 0, key),
        ask(fleet, 2, key),
      ];
    },
    ends: [IN_PROGRESS, UNKNOWN, UNKNOWN],
    runs: 0,
  },
  {
    name: 'a verdict after the end of its request releases the key',
    play: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).deliver({kind: 'request_cancelled', reqId});
      fleet.world.clock.advance(500);
      return [endOf(fleet, reqId), ask(fleet, 2, key)];
    },
    ends: ['rejected_not_run cancelled', 'completed'],
    runs: 1,
  },
];

for (const {name, play, ends, runs} of CASES) {
  test(name, () => {
    const fleet = createRouterFleet(3, 1);
    assert.deepEqual(play(fleet), ends);
    fleet.world.clock.advance(5_000);
    assert.deepEqual(fleetViolations(fleet.world.journal), []);
    assert.equal(fleet.world.journal.runs.length, runs);
  });
}
