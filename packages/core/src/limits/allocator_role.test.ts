import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAllocatorRole, type AllocatorRole} from './allocator_role.js';

const SELF = 'a';
const CUSTOMER = 'clerks';

/** A role that has seen each view of the members for a time. */
function roleAfter(views: [string[], number][]): [AllocatorRole, number] {
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
  guards: string;
  views: [string[], number][];
  established: boolean;
  members: number;
}

// Of a and b, the rendezvous order for the customer puts `OTHER` first.
const OTHER = ['b', 'c', 'd', 'e', 'f'].find(other => {
  const [role] = roleAfter([[[SELF, other], 0]]);
  return role.allocator(CUSTOMER) === other;
})!;

const CASES: Case[] = [
  {
    guards: 'a new process may follow one whose shares are alive',
    views: [[[SELF], 4_999]],
    established: false,
    members: 1,
  },
  {
    guards: 'a process is established after one share lifetime',
    views: [[[SELF], 5_000]],
    established: true,
    members: 1,
  },
  {
    guards: 'the shares of an allocator that has gone are alive',
    views: [
      [[SELF, OTHER], 9_000],
      [[SELF], 4_999],
    ],
    established: false,
    members: 1,
  },
  {
    guards: 'a member that came back alone may not divide for all',
    views: [
      [[SELF], 9_000],
      [[SELF, 'x', 'y'], 4_999],
    ],
    established: false,
    members: 1,
  },
  {
    guards: 'a member that is back may hold shares of another allocator',
    views: [
      [[SELF], 9_000],
      [[SELF, OTHER], 4_999],
    ],
    established: true,
    members: 1,
  },
];

for (const {guards, views, established, members} of CASES) {
  test(guards, () => {
    const [role, nowMs] = roleAfter(views);
    assert.equal(role.established(CUSTOMER, nowMs), established);
    assert.equal(role.minAliveMembers(), members);
  });
}
