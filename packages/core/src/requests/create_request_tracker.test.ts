import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEndpointDirectory} from '../endpoints/create_endpoint_directory.js';
import {classRow, customerRow, endpointRow} from '../mocks/rows.js';
import {recordedContext} from '../mocks/router_context.js';
import {requestArrived, routerConfig} from '../mocks/router_events.js';
import {FifoQueue} from '../queue/fifo_queue.js';
import {createRequestState} from '../router/create_request_state.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {Outcome} from '../types/outcome.js';
import {createRequestTracker} from './create_request_tracker.js';

/** Returns the outcome of a non-idempotent request whose attempt fails. */
function outcomeAfter(failure: AttemptFailure): Outcome | 'retried' {
  const ctx = recordedContext();
  const endpoints = createEndpointDirectory();
  endpoints.syncRows(ctx, [endpointRow()]);
  const tracker = createRequestTracker({
    cfg: routerConfig(),
    queue: new FifoQueue(),
    endpoints,
    onEnd: () => undefined,
  });
  const cls = classRow({idempotent: false});
  const state = createRequestState(ctx, requestArrived(), customerRow(), cls);
  tracker.admit(ctx, state);
  tracker.claimGranted(ctx, 'req-1');
  const endpoint = endpoints.candidates('coder', ctx.nowMs)[0]!;
  tracker.startAttempt(ctx, state, {endpoint, costMs: 0, reason: ''});
  tracker.failed(ctx, {
    kind: 'attempt_failed',
    reqId: 'req-1',
    attempt: 1,
    failure,
    leaving: false,
  });
  const finish = ctx.actions.find(action => action.kind === 'finish');
  return finish ? finish.outcome : 'retried';
}

const CASES: [AttemptFailure, Outcome['kind'] | 'retried'][] = [
  ['broken', 'outcome_unknown'],
  ['rejected', 'outcome_unknown'],
  ['connect_failed', 'retried'],
  ['said_not_run', 'retried'],
];

for (const [failure, expected] of CASES) {
  test(`a non-idempotent request after ${failure} cannot run twice`, () => {
    const outcome = outcomeAfter(failure);
    assert.equal(outcome === 'retried' ? outcome : outcome.kind, expected);
  });
}
