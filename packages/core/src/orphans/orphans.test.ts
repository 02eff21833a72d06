import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEndpointDirectory} from '../endpoints/create_endpoint_directory.js';
import type {MemberStatus} from '../membership/member_status.js';
import type {Membership} from '../membership/membership.js';
import {endpointRow} from '../mocks/rows.js';
import {recordedContext} from '../mocks/router_context.js';
import {createVirtualEngine} from '../mocks/virtual_engine.js';
import {createOrphans} from './orphans.js';

const SELF = '127.0.0.1:7001';
const OWNER = '127.0.0.1:7002';
const THIRD = '127.0.0.1:7003';

interface Case {
  owner: string;
  ownerStatus?: MemberStatus;
  otherStatus?: MemberStatus;
  /** Seconds for which the session is listed. */
  listedS: number;
  /** Seconds without a report after the first second. */
  gapS?: number;
}

function fakeMembers(statuses: Map<string, MemberStatus>): Membership {
  const having = (dead: boolean) =>
    [...statuses.keys()].filter(a => (statuses.get(a) === 'dead') === dead);
  return {
    self: SELF,
    alive: () => having(false),
    dead: () => having(true),
    incarnation: address => (statuses.has(address) ? 5 : undefined),
    status: address => statuses.get(address),
    // Only this router is in the failure domain of the endpoint.
    failureDomain: address => (address === SELF ? 'amman-1' : 'amman-2'),
    tableNext: () => undefined,
    probeNow: () => undefined,
    handlers: {},
  };
}

/** Whether the session is released while it is listed. */
function released(listing: Case): boolean {
  const statuses = new Map<string, MemberStatus>([
    [SELF, 'alive'],
    [OWNER, listing.ownerStatus ?? 'alive'],
    [THIRD, listing.otherStatus ?? 'alive'],
  ]);
  const endpoints = createEndpointDirectory();
  endpoints.syncRows(recordedContext(), [endpointRow()]);
  const orphans = createOrphans({
    members: fakeMembers(statuses),
    endpoints,
    hasPeers: true,
    isInUse: (_endpoint, session) => session.reqId === 'known',
  });
  const engine = createVirtualEngine('engine-1', 'amman-1');
  const [owner, reqId = ''] = listing.owner.split(' ');
  engine.open(owner!, reqId);
  const ctx = recordedContext();
  for (let s = 0; s <= listing.listedS; s++) {
    if (s === 1 && listing.gapS) s += listing.gapS;
    const at = {...ctx, nowMs: 1_000 * s};
    orphans.handlers.endpoint_report?.(at, engine.report());
  }
  return ctx.actions.some(action => action.kind === 'release_session');
}

const CASES: [string, Case, boolean][] = [
  ['an alive owner', {owner: `${OWNER}#5`, listedS: 300}, false],
  [
    'a suspected owner',
    {owner: `${OWNER}#5`, ownerStatus: 'suspect', listedS: 300},
    false,
  ],
  [
    'a dead owner, after the grace period',
    {owner: `${OWNER}#5`, ownerStatus: 'dead', listedS: 15},
    true,
  ],
  [
    'a dead owner, before that',
    {owner: `${OWNER}#5`, ownerStatus: 'dead', listedS: 14},
    false,
  ],
  [
    'a dead owner, if reports were missing in between',
    {owner: `${OWNER}#5`, ownerStatus: 'dead', listedS: 15, gapS: 10},
    false,
  ],
  [
    'a dead owner, if all other members look dead too',
    {
      owner: `${OWNER}#5`,
      ownerStatus: 'dead',
      otherStatus: 'dead',
      listedS: 60,
    },
    false,
  ],
  ['an earlier incarnation', {owner: `${OWNER}#4`, listedS: 15}, true],
  ['an incarnation not known yet', {owner: `${OWNER}#6`, listedS: 300}, false],
  ['a forgotten owner', {owner: 'gone:1#5', listedS: 120}, true],
  [
    'an owner that may not be known yet',
    {owner: 'gone:1#5', listedS: 119},
    false,
  ],
  ['its own request', {owner: `${SELF}#5 known`, listedS: 300}, false],
  ['its own ended request', {owner: `${SELF}#5 ended`, listedS: 15}, true],
  [
    'its own earlier incarnation',
    {owner: `${SELF}#4 known`, listedS: 15},
    true,
  ],
  ['a malformed owner', {owner: 'nobody', listedS: 300}, false],
];

for (const [description, listing, expected] of CASES) {
  test(`a session ${expected ? 'is' : 'is not'} released: ${description}`, () => {
    assert.equal(released(listing), expected);
  });
}
