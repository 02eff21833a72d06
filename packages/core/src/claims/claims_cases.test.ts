import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  advanceUntilClaimed,
  runRequest,
  outcomeText,
  keyInSamePartition,
  keyRecordedBy,
  streamOf,
} from '../mocks/fleet_probes.js';
import {fleetViolations} from '../mocks/fleet_violations.js';
import {createRouterFleet, type RouterFleet} from '../mocks/router_fleet.js';

interface ClaimCase {
  /** Failure that the case guards against. */
  name: string;
  /** Returns the outcomes of the requests, in order. */
  run(fleet: RouterFleet): string[];
  outcomes: string[];
  runs: number;
}

const DONE = 'outcome_unknown claim_already_done';
const IN_PROGRESS = 'outcome_unknown claim_owned_in_progress';
const UNKNOWN = 'outcome_unknown claim_outcome_unknown';

const CASES: ClaimCase[] = [
  {
    name: 'no router takes over the claim of a crashed owner',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).crash();
      return [
        runRequest(fleet, 2, key, 2_500),
        runRequest(fleet, 2, key),
        runRequest(fleet, 1, key),
      ];
    },
    outcomes: [IN_PROGRESS, UNKNOWN, UNKNOWN],
    runs: 0,
  },
  {
    name: 'a paused owner that resumes after the deadline does not dispatch',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      fleet.node(0).pause(3_000);
      fleet.env.clock.advance(3_500);
      return [outcomeText(fleet, reqId), runRequest(fleet, 2, key)];
    },
    outcomes: ['rejected_not_run queue_timeout', 'completed'],
    runs: 1,
  },
  {
    name: 'a claim resent after a lost answer is not a duplicate of itself',
    run: fleet => {
      fleet.env.faults.lostAnswers = 1;
      fleet.env.faults.logLatencyMs = 700;
      return [0, 1, 2].map(i => runRequest(fleet, i, fleet.newKey(), 2_000));
    },
    outcomes: ['completed', 'completed', 'completed'],
    runs: 3,
  },
  {
    name: 'a duplicate through another router is not dispatched',
    run: fleet => {
      const key = fleet.newKey();
      const ids = [0, 1].map(i => fleet.request(i, key));
      fleet.env.clock.advance(1_000);
      const outcomes = ids.map(id => outcomeText(fleet, id)).sort();
      return [...outcomes, runRequest(fleet, 2, key)];
    },
    outcomes: ['completed', IN_PROGRESS, DONE],
    runs: 1,
  },
  {
    name: 'a key in upper case is the same key',
    run: fleet => {
      const key = fleet.newKey();
      return [
        runRequest(fleet, 0, key),
        runRequest(fleet, 1, key.toUpperCase()),
      ];
    },
    outcomes: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a wrong recorder reaches the same verdict',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.setAlive(0, []);
      return [
        runRequest(fleet, 0, key),
        runRequest(fleet, 1, key),
        runRequest(fleet, 0, key),
      ];
    },
    outcomes: ['completed', DONE, DONE],
    runs: 1,
  },
  {
    name: 'two recorders at once grant a key to one claim',
    run: fleet => {
      const key = fleet.newKey();
      for (const i of [0, 1, 2]) fleet.setAlive(i, []);
      const ids = [0, 1, 2].map(i => fleet.request(i, key));
      fleet.env.clock.advance(1_000);
      return ids.map(id => outcomeText(fleet, id)).sort();
    },
    outcomes: ['completed', IN_PROGRESS, IN_PROGRESS],
    runs: 1,
  },
  {
    name: 'without the log nothing is dispatched, and the key stays usable',
    run: fleet => {
      const key = fleet.newKey();
      fleet.env.faults.logDown = true;
      const during = runRequest(fleet, 0, key);
      fleet.env.faults.logDown = false;
      return [during, runRequest(fleet, 1, key)];
    },
    outcomes: ['rejected_not_run log_unavailable', 'completed'],
    runs: 1,
  },
  {
    name: 'a reader of a trimmed partition refuses keys it may lack claims of',
    run: fleet => {
      const key = fleet.newKey();
      const before = runRequest(fleet, 0, key);
      fleet.env.log.trim(streamOf(key), 0);
      for (const i of [0, 1, 2]) {
        fleet.node(i).crash();
        fleet.restart(i);
      }
      fleet.env.clock.advance(100);
      const old = runRequest(fleet, 1, key);
      return [
        before,
        old,
        runRequest(fleet, 2, keyInSamePartition(fleet, key)),
      ];
    },
    outcomes: ['completed', 'rejected_not_run key_expired', 'completed'],
    runs: 2,
  },
  {
    name: 'a fully trimmed partition becomes usable after an owner crash',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const before = runRequest(fleet, 0, key);
      fleet.env.log.trim(streamOf(key), 0);
      for (const i of [0, 1, 2]) {
        fleet.node(i).crash();
        fleet.restart(i);
      }
      fleet.env.clock.advance(100);
      fleet.request(0, keyInSamePartition(fleet, key));
      fleet.env.clock.advance(5);
      fleet.node(0).crash();
      fleet.env.clock.advance(1_000);
      const first = runRequest(fleet, 2, keyInSamePartition(fleet, key));
      return [
        before,
        first,
        runRequest(fleet, 2, keyInSamePartition(fleet, key)),
      ];
    },
    outcomes: ['completed', 'rejected_not_run key_expired', 'completed'],
    runs: 2,
  },
  {
    name: 'a recorder that was idle does not answer from stale state',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.env.clock.advance(40);
      fleet.setAlive(0, []);
      fleet.env.faults.logDown = true;
      fleet.env.clock.advance(40_000);
      fleet.env.faults.logDown = false;
      fleet.env.clock.advance(6_000);
      return [outcomeText(fleet, reqId), runRequest(fleet, 1, key)];
    },
    outcomes: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a drain waits for a claim in flight and records its outcome',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      fleet.node(0).deliver({kind: 'stop_requested'});
      fleet.env.clock.advance(2_000);
      assert.equal(fleet.node(0).incarnation, 2, 'the drain never ended');
      return [outcomeText(fleet, reqId), runRequest(fleet, 2, key)];
    },
    outcomes: ['completed', DONE],
    runs: 1,
  },
  {
    name: 'a verdict for an earlier incarnation does not affect the next',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).crash();
      fleet.restart(0);
      fleet.env.clock.advance(100);
      return [
        runRequest(fleet, 0, key, 2_500),
        runRequest(fleet, 0, key),
        runRequest(fleet, 2, key),
      ];
    },
    outcomes: [IN_PROGRESS, UNKNOWN, UNKNOWN],
    runs: 0,
  },
  {
    name: 'a verdict after the end of its request releases the key',
    run: fleet => {
      const key = keyRecordedBy(fleet, 1);
      const reqId = fleet.request(0, key);
      advanceUntilClaimed(fleet, key);
      fleet.node(0).deliver({kind: 'request_cancelled', reqId});
      fleet.env.clock.advance(500);
      return [outcomeText(fleet, reqId), runRequest(fleet, 2, key)];
    },
    outcomes: ['rejected_not_run cancelled', 'completed'],
    runs: 1,
  },
];

for (const {name, run, outcomes, runs} of CASES) {
  test(name, () => {
    const fleet = createRouterFleet(3, 1);
    assert.deepEqual(run(fleet), outcomes);
    fleet.env.clock.advance(5_000);
    assert.deepEqual(fleetViolations(fleet.env.journal), []);
    assert.equal(fleet.env.journal.runs.length, runs);
  });
}
