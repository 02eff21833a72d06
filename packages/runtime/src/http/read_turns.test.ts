// Guards against connections that keep the event loop from all others.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createReadTurns, type ReadTurns} from './read_turns.js';

/** A connection with so many pieces; records its name for each one. */
function feed(turns: ReadTurns, name: string, pieces: number, log: string[]) {
  let left = pieces;
  const resume = (): void => {
    if (!turns.tryTake()) return turns.wait(resume);
    log.push(name);
    left -= 1;
    if (left > 0) turns.wait(resume);
  };
  turns.wait(resume);
  return resume;
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

test('connections that wait have their pieces parsed in turns', async () => {
  const turns = createReadTurns();
  const log: string[] = [];
  for (const name of ['a', 'b', 'c']) feed(turns, name, 3, log);
  await nextTurn();
  assert.equal(log.join(''), 'abcabcabc');
});

test('a turn ends after a bounded number of pieces', async () => {
  const turns = createReadTurns();
  const log: string[] = [];
  feed(turns, 'a', 100, log);
  for (let i = 1; log.length < 100; i++) {
    await nextTurn();
    assert.ok(log.length <= i * 16, `${log.length} pieces in ${i} turns`);
    assert.ok(i < 20);
  }
});

test('pieces that are parsed as they arrive count as well', async () => {
  const turns = createReadTurns();
  let taken = 0;
  while (turns.tryTake()) taken += 1;
  assert.equal(taken, 16);
  await nextTurn();
  assert.ok(turns.tryTake());
});

test('a connection that has ended has no turn', async () => {
  const turns = createReadTurns();
  const log: string[] = [];
  turns.cancel(feed(turns, 'a', 3, log));
  await nextTurn();
  assert.deepEqual(log, []);
});

test('a flush gives each connection that waits one turn', () => {
  const turns = createReadTurns();
  const log: string[] = [];
  for (let i = 0; i < 40; i++) feed(turns, 'a', 2, log);
  turns.flush();
  assert.equal(log.length, 40);
});
