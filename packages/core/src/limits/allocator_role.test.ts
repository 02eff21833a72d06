import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAllocatorRole, type AllocatorRole} from './allocator_role.js';

const SELF = 'a';
const CUSTOMER = 'clerks';

/** Creates a role that has observed each view of the members for a time. */
function createRoleAfterViews(
  views: [string[], number][],
): [AllocatorRole, number] {
  let alive = views[0]?.[0] ?? [];
  const role = createAllocatorRole({
    self: SELF,
    alive: () => alive,
    incarnation: () => 1,
  });
  let nowMs = 1_000;
  for (const [view, forMs] of views) {
    alive = view;
    role.observe(nowMs);
    nowMs += forMs;
  }
  return [role, nowMs];
}

interface Case {
  name: string;
  views: [string[], number][];
  established: boolean;
  members: number;
}

// A member that precedes `SELF` in the customer's rendezvous order.
const OTHER = ['b', 'c', 'd', 'e', 'f'].find(other => {
  const [role] = createRoleAfterViews([[[SELF, other], 0]]);
  return role.allocator(CUSTOMER) === other;
})!;

const CASES: Case[] = [
  {
    name: 'a new process waits for the shares of its predecessor to expire',
    views: [[[SELF], 4_999]],
    established: false,
    members: 1,
  },
  {
    name: 'a process is established after one share lifetime',
    views: [[[SELF], 5_000]],
    established: true,
    members: 1,
  },
  {
    name: 'the shares of an allocator that left are valid until they expire',
    views: [
      [[SELF, OTHER], 9_000],
      [[SELF], 4_999],
    ],
    established: false,
    members: 1,
  },
  {
    name: 'a member that was alone does not divide for members just returned',
    views: [
      [[SELF], 9_000],
      [[SELF, 'x', 'y'], 4_999],
    ],
    established: false,
    members: 1,
  },
  {
    name: 'a member that returned may hold shares of another allocator',
    views: [
      [[SELF], 9_000],
      [[SELF, OTHER], 4_999],
    ],
    established: true,
    members: 1,
  },
];

for (const {name, views, established, members} of CASES) {
  test(name, () => {
    const [role, nowMs] = createRoleAfterViews(views);
    assert.equal(role.isEstablished(CUSTOMER, nowMs), established);
    assert.equal(role.minAliveMembers(), members);
  });
}
