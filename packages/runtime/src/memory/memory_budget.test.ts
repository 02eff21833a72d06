import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {KeptBytes} from './kept_bytes.js';
import {createMemoryBudget} from './memory_budget.js';
import {MemoryHolder} from './memory_holder.js';

const MAX_BYTES = 100;

class Evictable extends MemoryHolder {
  evicted = false;

  override isEvictable(): boolean {
    return true;
  }

  override evict(): void {
    this.evicted = true;
  }
}

function heldBy(budget: ReturnType<typeof createMemoryBudget>, bytes: number) {
  const holder = new Evictable();
  assert.ok(budget.tryTake(holder, bytes));
  return holder;
}

test('the holder that stopped with the most memory is evicted first', () => {
  const budget = createMemoryBudget(MAX_BYTES);
  const [moving, stopped, small] = [50, 40, 10].map(n => heldBy(budget, n));
  moving?.moved(1_000);
  assert.ok(budget.tryTake(new KeptBytes(), 20));
  const evicted = [moving, stopped, small].map(holder => holder?.evicted);
  assert.deepEqual(evicted, [false, true, false]);
});

test('a holder that is itself the worst gets nothing and evicts nobody', () => {
  const budget = createMemoryBudget(MAX_BYTES);
  const small = heldBy(budget, 10);
  const large = heldBy(budget, 80);
  assert.equal(budget.tryTake(large, 20), false);
  assert.ok(!small.evicted && !large.evicted);
});

test('what a complete request needs is never evicted', () => {
  const budget = createMemoryBudget(MAX_BYTES);
  assert.ok(budget.tryTake(new KeptBytes(), 90));
  assert.equal(budget.tryTake(new KeptBytes(), 20), false);
  assert.equal(budget.canHold(20), false);
  assert.equal(budget.canHold(10), true);
});

test('no order of calls exceeds the budget or loses count', () => {
  const call = fc.record({
    holder: fc.nat(5),
    call: fc.constantFrom('take', 'giveBack', 'remove', 'interval'),
    bytes: fc.nat(60),
  });
  fc.assert(
    fc.property(fc.array(call, {maxLength: 60}), calls => {
      const budget = createMemoryBudget(MAX_BYTES);
      const holders = Array.from({length: 6}, (_, i) =>
        i < 2 ? new KeptBytes() : new Evictable(),
      );
      for (const {holder: index, call: name, bytes} of calls) {
        const holder = holders[index]!;
        if (name === 'take') budget.tryTake(holder, bytes);
        if (name === 'giveBack') budget.giveBack(holder, bytes);
        if (name === 'remove') budget.remove(holder);
        if (name === 'interval') budget.nextInterval(0);
        const sum = holders.reduce((n, {heldBytes}) => n + heldBytes, 0);
        assert.equal(budget.heldBytes(), sum);
        assert.ok(sum <= MAX_BYTES);
      }
    }),
    {numRuns: 200, seed: 11},
  );
});

// The heap has a limit of its own, at which the process ends.
test('the holder with the most of the heap makes room there, no other does', () => {
  const budget = createMemoryBudget(MAX_BYTES, 50);
  const body = heldBy(budget, 45);
  const [large, small] = [new Evictable(), new Evictable()];
  assert.ok(budget.resize(large, 30, 30));
  assert.ok(budget.resize(small, 10, 10));
  const added = new KeptBytes();
  assert.ok(budget.resize(added, 15, 15));
  const evicted = [body, large, small].map(holder => holder.evicted);
  assert.deepEqual(evicted, [false, true, false]);
  assert.equal(budget.heldBytes(), 70);
  budget.remove(added);
  assert.ok(budget.resize(new KeptBytes(), 40, 40));
});

test('what must not be dropped keeps its part of the heap', () => {
  const budget = createMemoryBudget(MAX_BYTES, 50);
  assert.ok(budget.resize(new KeptBytes(), 40, 40));
  assert.ok(!budget.resize(new KeptBytes(), 20, 20));
  assert.equal(budget.heldBytes(), 40);
});
