import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LOAD_KINDS} from '../../platform/dist/mocks/load_kind.js';
import {
  checkAnswer,
  checkMemory,
  checkRuns,
  watchDrained,
} from '../soak/promises.mjs';

const [LOOKUP] = LOAD_KINDS;
const WRITE = LOAD_KINDS.find(({name}) => name === 'write');

function environment(over = {}) {
  const findings = [];
  return {
    findings,
    broken: what => findings.push(what),
    platform: {engines: [], services: []},
    drained: [],
    gone: new Map(),
    calmSinceMs: () => 0,
    ...over,
  };
}

function answerOf(over = {}) {
  return {
    status: 200,
    complete: true,
    ownBytes: true,
    signed: true,
    totalMs: 900,
    pieces: Array.from({length: 32}, (_, i) => i + 1),
    ...over,
  };
}

// Without these the soak would hold whatever the gateways do.
for (const [what, over, mayBreak] of [
  ['a proper request is denied', {status: 404}, false],
  ['bytes of another answer', {ownBytes: false}, true],
  ['a success that no endpoint made', {signed: false}, true],
  ['pieces out of order', {pieces: [1, 3, 2], complete: false}, true],
  ['complete with 31 pieces', {pieces: answerOf().pieces.slice(1)}, true],
  ['no final answer in time', {status: 504, totalMs: 12_000}, false],
]) {
  test(`the soak finds ${what}`, () => {
    const env = environment();
    checkAnswer(env, 'q1', LOOKUP, answerOf(over), mayBreak);
    assert.ok(env.findings.some(finding => finding.includes(what)));
  });
}

test('the soak finds nothing in a sound answer', () => {
  const env = environment();
  checkAnswer(env, 'q1', LOOKUP, answerOf(), false);
  assert.deepEqual(env.findings, []);
});

test('the soak finds writes that ran twice or were called not run', () => {
  const runs = ['write-1', 'write-1', 'write-2'];
  const env = environment({platform: {engines: [], services: [{runs}]}});
  checkRuns(env, [{id: 'write-2', kind: WRITE, status: 503}]);
  assert.equal(env.findings.length, 2);
});

test('the soak finds work that reaches an engine that has left', () => {
  const engine = {id: 'i-1', arrivals: ['q1']};
  const drained = [{engine, atMs: Date.now() - 10_000}];
  const env = environment({drained});
  watchDrained(env);
  engine.arrivals.push('q2');
  checkRuns(env, []);
  assert.equal(env.findings.length, 1);
});

test('the soak finds memory that is never freed', () => {
  const engines = [{id: 'i-1', tickets: {held: () => ['t1']}}];
  const env = environment({platform: {engines, services: []}});
  checkMemory(env);
  assert.equal(env.findings.length, 1);
});
