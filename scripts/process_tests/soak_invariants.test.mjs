import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {
  checkAnswer,
  checkMemory,
  checkRuns,
  recordDrainArrivals,
} from '../soak/invariants.mjs';

const [LOOKUP] = LOAD_KINDS;
const WRITE = LOAD_KINDS.find(({name}) => name === 'write');

function environment(overrides = {}) {
  const violations = [];
  return {
    violations,
    reportViolation: what => violations.push(what),
    platform: {engines: [], services: []},
    drained: [],
    removedEngines: new Map(),
    propagatingSinceMs: () => 0,
    ...overrides,
  };
}

function answerOf(overrides = {}) {
  return {
    status: 200,
    complete: true,
    ownBytes: true,
    signed: true,
    totalMs: 900,
    pieces: Array.from({length: 32}, (_, i) => i + 1),
    ...overrides,
  };
}

// A soak run proves something only if its checks report each violation.
for (const [what, overrides, gatewayFaulty] of [
  ['a valid request is rejected', {status: 404}, false],
  ['bytes of another answer', {ownBytes: false}, true],
  ['a success that no endpoint sent', {signed: false}, true],
  ['pieces out of order', {pieces: [1, 3, 2], complete: false}, true],
  ['complete with 31 pieces', {pieces: answerOf().pieces.slice(1)}, true],
  ['no final answer in time', {status: 504, totalMs: 12_000}, false],
]) {
  test(`the soak test reports ${what}`, () => {
    const env = environment();
    checkAnswer(env, 'q1', LOOKUP, answerOf(overrides), gatewayFaulty);
    assert.ok(env.violations.some(violation => violation.includes(what)));
  });
}

test('the soak test reports nothing for a correct answer', () => {
  const env = environment();
  checkAnswer(env, 'q1', LOOKUP, answerOf(), false);
  assert.deepEqual(env.violations, []);
});

test('the soak test reports writes that ran twice or despite a not-run status', () => {
  const runs = ['write-1', 'write-1', 'write-2'];
  const env = environment({platform: {engines: [], services: [{runs}]}});
  checkRuns(env, [{id: 'write-2', kind: WRITE, status: 503}]);
  assert.equal(env.violations.length, 2);
});

test('the soak test reports work that reaches an engine that has left', () => {
  const engine = {id: 'i-1', arrivals: ['q1']};
  const drained = [{engine, atMs: Date.now() - 10_000}];
  const env = environment({drained});
  recordDrainArrivals(env);
  engine.arrivals.push('q2');
  checkRuns(env, []);
  assert.equal(env.violations.length, 1);
});

test('the soak test reports memory that is never freed', () => {
  const engines = [{id: 'i-1', tickets: {held: () => ['t1']}}];
  const env = environment({platform: {engines, services: []}});
  checkMemory(env);
  assert.equal(env.violations.length, 1);
});
