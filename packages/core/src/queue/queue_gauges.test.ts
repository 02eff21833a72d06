import assert from 'node:assert/strict';
import {test} from 'node:test';
import {classRow, customerRow} from '../mocks/rows.js';
import {recordedContext} from '../mocks/router_context.js';
import {requestArrived} from '../mocks/router_events.js';
import {createRequestState} from '../router/create_request_state.js';
import {FifoQueue} from './fifo_queue.js';
import {createQueueGauges} from './queue_gauges.js';

function gaugesAt(nowMs: number, gauges: ReturnType<typeof createQueueGauges>) {
  const ctx = recordedContext(nowMs);
  gauges.expire?.(ctx);
  return ctx.actions.map(action =>
    action.kind === 'observe' ? [action.metric, action.value] : [],
  );
}

test('an emptied class is reported as 0 instead of its last value', () => {
  const queue = new FifoQueue();
  const ctx = recordedContext(1_000);
  const {entry} = createRequestState(
    ctx,
    requestArrived(),
    customerRow(),
    classRow(),
  );
  queue.push(entry);
  const gauges = createQueueGauges(queue);
  assert.deepEqual(gaugesAt(3_000, gauges), [
    ['waiting_requests', 1],
    ['oldest_waiting_ms', 2_000],
  ]);
  queue.remove(entry.reqId);
  assert.deepEqual(gaugesAt(4_000, gauges), [
    ['waiting_requests', 0],
    ['oldest_waiting_ms', 0],
  ]);
});
