import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEventSource, type EventSource} from './event_source.js';

/** Observes a source until it has delivered `count` events. */
async function delivered(
  source: EventSource<number>,
  count: number,
): Promise<number[]> {
  const events: number[] = [];
  await source.stream.take(count).observe(event => events.push(event));
  return events;
}

// The listening socket of a start has connections before the loop runs.
test('events that come before the loop runs are delivered first, in order', async () => {
  const source = createEventSource<number>();
  source.push(1);
  source.push(2);
  const events = delivered(source, 4);
  source.push(3);
  await new Promise(resolve => setTimeout(resolve, 5));
  source.push(4);
  assert.deepEqual(await events, [1, 2, 3, 4]);
  assert.equal(source.pending(), 0);
});

test('a full source refuses events, also before the loop runs', async () => {
  const source = createEventSource<number>(2);
  assert.deepEqual(
    [source.push(1), source.push(2), source.push(3)],
    [true, true, false],
  );
  assert.deepEqual(await delivered(source, 2), [1, 2]);
});
