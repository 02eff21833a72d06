import assert from 'node:assert/strict';
import {test} from 'node:test';
import {endpointRow} from '../mocks/rows.js';
import {recordedContext} from '../mocks/router_context.js';
import {createVirtualEngine} from '../mocks/virtual_engine.js';
import type {EndpointNotice} from '../router/messages/endpoint_notice.js';
import {createEndpointDirectory} from './create_endpoint_directory.js';
import {createEndpointGossip, type EndpointGossip} from './endpoint_gossip.js';

type Step =
  | {report: string; leaving?: boolean}
  | {notice: Partial<EndpointNotice>}
  | {answer: 'leaving'}
  | {vm: 'live' | 'leaving'}
  | {table: 'serving' | 'draining'; next: number}
  | {waitMs: number};

function createSubject(address = '127.0.0.1:7001') {
  const gossip: EndpointGossip = createEndpointGossip(
    {address, incarnation: 1},
    () => endpoints,
  );
  const endpoints = createEndpointDirectory(gossip);
  const rows = [endpointRow(), endpointRow({name: 'engine-2'})];
  endpoints.syncRows(recordedContext(0), rows, 1);
  return {gossip, endpoints};
}

/** Whether engine-1 takes work after some steps. */
function serves(steps: Step[]): boolean {
  const {gossip, endpoints} = createSubject();
  let nowMs = 1_000;
  for (const step of steps) {
    const ctx = recordedContext(nowMs);
    if ('waitMs' in step) nowMs += step.waitMs;
    else if ('report' in step) {
      const report = createVirtualEngine('engine-1', 'amman-1').report();
      const {report: incarnation, leaving = false} = step;
      endpoints.report(ctx, {...report, incarnation, leaving});
    } else if ('notice' in step) {
      gossip.read(ctx, [notice(step.notice)], []);
    } else if ('answer' in step) {
      endpoints.markLeaving(ctx, 'engine-1', 'response');
    } else if ('vm' in step) {
      const address = '127.0.0.1:9001';
      const vm = {address, failureDomain: 'amman-1', state: step.vm};
      gossip.handlers.vm_list_read?.(ctx, {kind: 'vm_list_read', vms: [vm]});
    } else {
      const rows = [endpointRow({desired: step.table})];
      endpoints.syncRows(ctx, rows, step.next);
    }
  }
  return endpoints
    .candidates('coder', nowMs)
    .some(view => view.row.name === 'engine-1');
}

function notice(over: Partial<EndpointNotice>): EndpointNotice {
  return {
    endpoint: 'engine-1',
    incarnation: 'a',
    state: 'leaving',
    origin: '127.0.0.1:7002',
    stamp: 1,
    ...over,
  };
}

const failed = {state: 'failed', stamp: 7} as const;
const CASES: [string, Step[], boolean][] = [
  ['its report says it leaves', [{report: 'a', leaving: true}], false],
  [
    'a lagging report contradicts a peer',
    [{report: 'a'}, {notice: {}}, {report: 'a'}],
    false,
  ],
  [
    'it restarted after a notice',
    [{report: 'a'}, {notice: {}}, {report: 'b'}],
    true,
  ],
  [
    'an old notice arrives after the restart',
    [{report: 'a'}, {report: 'b'}, {notice: {}}],
    true,
  ],
  [
    'a peer knows a start that was not seen yet',
    [{report: 'a'}, {notice: {incarnation: 'b'}}],
    false,
  ],
  ['its answer says it leaves', [{report: 'a'}, {answer: 'leaving'}], false],
  [
    'the first report lags behind such an answer',
    [{answer: 'leaving'}, {report: 'a'}],
    false,
  ],
  ['its VM starts to leave', [{report: 'a'}, {vm: 'leaving'}], false],
  [
    'the VM list lags behind its restart',
    [{report: 'a'}, {vm: 'leaving'}, {report: 'b'}, {vm: 'leaving'}],
    true,
  ],
  [
    'a peer has a newer table',
    [{notice: {state: 'withdrawn', incarnation: '', stamp: 3}}],
    false,
  ],
  [
    'the own table overrules a peer',
    [
      {notice: {state: 'withdrawn', incarnation: '', stamp: 3}},
      {table: 'serving', next: 4},
    ],
    true,
  ],
  ['a peer saw it fail', [{report: 'a'}, {notice: failed}], false],
  [
    'a report follows a failure notice at once',
    [{report: 'a'}, {notice: failed}, {report: 'a'}],
    false,
  ],
  [
    'it reports well after a failure notice',
    [{report: 'a'}, {notice: failed}, {waitMs: 1_000}, {report: 'a'}],
    true,
  ],
  [
    'a failure notice is received again much later',
    [{notice: failed}, {waitMs: 16_000}, {notice: failed}],
    true,
  ],
];

for (const [when, steps, expected] of CASES) {
  test(`an endpoint ${expected ? 'serves' : 'gets no work'} when ${when}`, () =>
    assert.equal(serves(steps), expected));
}

test("work sent by peers counts until the endpoint's next report", () => {
  const sender = createSubject('127.0.0.1:7002');
  const {gossip, endpoints} = createSubject();
  const ctx = recordedContext(1_000);
  const sentTokens = () => endpoints.get('engine-1')?.peerSentTokens;
  sender.endpoints.attemptStarted('engine-1', 60_000);
  assert.ok(sender.gossip.hasUrgentUpdates());
  const {work} = sender.gossip.write(ctx, 8);
  gossip.read(ctx, [], work);
  gossip.read(ctx, [], work);
  assert.equal(sentTokens(), 60_000);
  const report = createVirtualEngine('engine-1', 'amman-1').report();
  endpoints.report(recordedContext(1_100), report);
  assert.equal(sentTokens(), 0);
  gossip.read(recordedContext(1_200), [], [{...work[0]!, ageMs: 200}]);
  assert.equal(sentTokens(), 0);
});
