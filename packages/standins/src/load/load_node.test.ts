import assert from 'node:assert/strict';
import {test} from 'node:test';
import {correctAnswerEvents} from './mocks/answers.js';
import {runLoad} from './mocks/run_load.js';

function sum(counts: Record<string, number>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

test('correct answers are completed, within time and without slowdown', () => {
  const {result, requests} = runLoad(correctAnswerEvents);
  assert.deepEqual(result.outcomes, {completed: result.sent});
  assert.ok(result.sent > 60 && requests.length > result.sent);
  assert.equal(result.withinTime, 1);
  assert.equal(result.fairness, 1);
  assert.equal(result.shortSlowdown?.p99, 1);
  assert.deepEqual(Object.keys(result.firstTokenMs), ['1k']);
  const keyed = requests.filter(({idempotencyKey}) => idempotencyKey !== '');
  assert.ok(keyed.some(({repeated}) => repeated));
  assert.ok(keyed.every(({kind}) => kind === 'service'));
});

test("another request's answer is not counted as completed", () => {
  const {result} = runLoad(request =>
    correctAnswerEvents(
      request.kind === 'chat' ? {...request, prompt: 'x'} : request,
    ),
  );
  const {outcomes, withinTime} = result.classes['lookup'] ?? assert.fail();
  assert.deepEqual(Object.keys(outcomes), ['wrong_answer/mismatch']);
  assert.equal(withinTime, 0);
});

test('an incomplete answer with an end marker is not completed', () => {
  const {result} = runLoad(request => {
    const events = correctAnswerEvents(request);
    return request.kind === 'chat' ? events.filter((_, i) => i !== 3) : events;
  });
  assert.ok(!('completed' in (result.classes['lookup']?.outcomes ?? {})));
});

test('a request without an answer is aborted after its timeout', () => {
  const {result} = runLoad(() => []);
  assert.deepEqual(Object.keys(result.outcomes), ['no_answer']);
  assert.equal(sum(result.outcomes), result.sent);
  assert.ok(result.notSent > 0, 'requests in flight are bounded');
});

test('double runs and runs reported as not run are counted', () => {
  const rejected = runLoad(({id}) => [
    {kind: 'outcome_stated', id, outcome: 'rejected_not_run', code: 'draining'},
  ]);
  const [first, second] = [
    ...new Set(rejected.requests.map(({idempotencyKey}) => idempotencyKey)),
  ].filter(key => key !== '');
  assert.ok(first && second);
  assert.equal(rejected.result.falseNotRun, 0);
  const executions = {[first]: 2, [second]: 1};
  const {result} = runLoad(
    ({id}) => [
      {kind: 'outcome_stated', id, outcome: 'rejected_not_run', code: ''},
    ],
    executions,
  );
  assert.equal(result.doubleRuns, 1);
  assert.equal(result.falseNotRun, 2);
});
