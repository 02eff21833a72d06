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

/** Returns the rate granted to a router with a demand and a held share. */
function requestShare(
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
  ['a share counts until its router confirms a newer one', -1, 0],
  ['a share that its router has replaced is available', 7_000, LIMIT / 2],
];

for (const [name, heldMs, expected] of CASES) {
  test(name, () => {
    const allocator = establishedAllocator();
    assert.equal(
      requestShare(allocator, 'b', LIMIT, ESTABLISHED_MS, -1),
      LIMIT,
    );
    // The first share of c is granted before b has returned any.
    requestShare(allocator, 'c', LIMIT, 6_100, -1);
    requestShare(allocator, 'b', 0, 7_000, ESTABLISHED_MS);
    requestShare(allocator, 'b', 0, 7_900, heldMs);
    const rate = requestShare(allocator, 'c', LIMIT / 2 / 1.5, 8_200, 6_100);
    assert.equal(rate, expected);
  });
}
