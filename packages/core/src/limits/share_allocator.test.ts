import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAllocatorRole} from './allocator_role.js';
import {createShareAllocator, type ShareAllocator} from './share_allocator.js';

const LIMIT = 100;
const ESTABLISHED_MS = 6_000;

function establishedAllocator(): ShareAllocator {
  const role = createAllocatorRole({
    self: 'a',
    alive: () => ['a'],
    incarnation: () => 1,
  });
  role.observe(0);
  const limits = {requests: LIMIT, tokens: 0, concurrency: 0};
  return createShareAllocator({
    self: 'a',
    role,
    fleetSize: 1,
    limits: () => limits,
  });
}

/** Rate granted to a router that wants a rate and holds an older share. */
function ask(
  allocator: ShareAllocator,
  router: string,
  rate: number,
  askedMs: number,
  heldMs: number,
): number | undefined {
  const wanted = {requests: rate, tokens: 0, concurrency: 0};
  const entry = {customer: 'clerks', wanted, inFlight: 0, heldMs};
  const [granted] = allocator.grant(askedMs, router, {
    kind: 'limit_demand',
    incarnation: 1,
    askedMs,
    entries: [entry],
  });
  return granted?.share.requests;
}

const CASES: [string, number, number][] = [
  ['a share that was perhaps not replaced still counts', -1, 0],
  ['a share that its router has replaced is free', 7_000, LIMIT / 2],
];

for (const [guards, heldMs, expected] of CASES) {
  test(guards, () => {
    const allocator = establishedAllocator();
    assert.equal(ask(allocator, 'b', LIMIT, ESTABLISHED_MS, -1), LIMIT);
    // The first share of c comes before b has given anything up.
    ask(allocator, 'c', LIMIT, 6_100, -1);
    ask(allocator, 'b', 0, 7_000, ESTABLISHED_MS);
    ask(allocator, 'b', 0, 7_900, heldMs);
    const rate = ask(allocator, 'c', LIMIT / 2 / 1.5, 8_200, 6_100);
    assert.equal(rate, expected);
  });
}
