import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import {endpointReport} from '../mocks/endpoint_report.js';
import {endpointView} from '../mocks/endpoint_view.js';
import {endpointRow} from '../mocks/rows.js';
import {createTestRandom} from '../mocks/step_harness.js';
import {ExpectedCost} from './expected_cost.js';
import {createLongShare} from './long_share.js';
import {prefillWork} from './prefill_work.js';
import type {RouteRequest} from './route_request.js';

function strategy(cached: Record<string, number> = {}): ExpectedCost {
  return new ExpectedCost({
    failureDomain: 'amman-1',
    longPromptTokens: 16_384,
    cachedPrefix: endpoint => cached[endpoint] ?? 0,
  });
}

function routeRequest(over: Partial<RouteRequest> = {}): RouteRequest {
  return {
    reqId: 'req-1',
    service: 'coder',
    objective: 'first_token',
    promptTokens: 4_000,
    prefixHashes: [],
    avoid: new Set(),
    ...over,
  };
}

/** Endpoints chosen in 50 draws. */
function chosen(
  views: EndpointView[],
  req = routeRequest(),
  cost = strategy(),
): string[] {
  const random = createTestRandom(5);
  const names = Array.from(
    {length: 50},
    () => cost.choose(req, views, random)?.endpoint.row.name ?? 'waits',
  );
  return [...new Set(names)].sort();
}

function withReport(over: Parameters<typeof endpointReport>[0]): EndpointView {
  return endpointView('engine-2', {report: endpointReport(over)});
}

const COSTLIER: [string, EndpointView][] = [
  ['reported queue', withReport({queuedPrefillTokens: 9_000})],
  ['tokens sent since', endpointView('engine-2', {sentTokens: 9_000})],
  ['own open prefill', endpointView('engine-2', {pendingTokens: 9_000})],
  ['decode streams', withReport({decodeStreams: 200})],
  [
    'tokens sent by peers',
    {...endpointView('engine-2'), ...{peerSentTokens: 9_000}},
  ],
];

for (const [name, costlier] of COSTLIER) {
  test(`an engine with more ${name} is not chosen`, () => {
    const views = [
      endpointView('engine-1'),
      costlier,
      endpointView('engine-3'),
    ];
    assert.ok(!chosen(views).includes('engine-2'));
  });
}

test('another failure domain is chosen only if it saves more time', () => {
  const row = endpointRow({name: 'engine-2', failureDomain: 'amman-2'});
  const remote = endpointView('engine-2', {row});
  const small = routeRequest({promptTokens: 10});
  const cost = strategy().choose(small, [remote], createTestRandom(1));
  assert.equal(cost?.costs?.domainMs, 10);
  assert.equal(cost?.costMs, 11);
});

test('a cached prefix saves its part of the prefill', () => {
  const cost = strategy({'engine-2': 3_072});
  const choice = cost.choose(
    routeRequest(),
    [endpointView('engine-2')],
    createTestRandom(1),
  );
  assert.equal(choice?.costs?.cachedTokens, 3_072);
  assert.equal(choice?.costs?.work, prefillWork(4_000, 3_072));
});

test('requests wait when each engine is at the queue limit', () => {
  const full = {report: endpointReport({queuedPrefillTokens: 16_384})};
  const views = [
    endpointView('engine-1', full),
    endpointView('engine-2', full),
  ];
  assert.deepEqual(chosen(views), ['waits']);
});

test('a prompt that the free KV memory cannot hold waits', () => {
  const used = endpointReport({kvUsedTokens: 398_000});
  assert.deepEqual(chosen([endpointView('engine-1', {report: used})]), [
    'waits',
  ]);
});

test('engines of equal cost share the load', () => {
  const names = Array.from({length: 6}, (_, i) => `engine-${i}`);
  const cost = strategy();
  for (let i = 0; i < 500; i++) cost.admitted(routeRequest(), i);
  const views = names.map(name => endpointView(name));
  assert.ok(chosen(views, routeRequest(), cost).length >= 5);
});

test('long prompts use a nested subset whose idle engines are lent', () => {
  const names = Array.from({length: 8}, (_, i) => `engine-${i}`);
  const long = routeRequest({promptTokens: 50_000});
  const subset = chosen(
    names.map(name => endpointView(name)),
    long,
  );
  assert.ok(subset.length > 0 && subset.length < names.length);
  const busy = {report: endpointReport({queuedPrefillTokens: 16_384})};
  const lent = names.map(name =>
    endpointView(name, subset.includes(name) ? {} : busy),
  );
  assert.deepEqual(chosen(lent), subset);
  const some = {report: endpointReport({queuedPrefillTokens: 3_000})};
  const working = names.map(name =>
    endpointView(name, subset.includes(name) ? some : busy),
  );
  assert.deepEqual(chosen(working), ['waits']);
  const taken = names.map(name => endpointView(name, busy));
  assert.deepEqual(chosen(taken), ['waits']);
});

test('observed rates correct a wrong default rate', () => {
  const cost = strategy();
  const view = endpointView('engine-1');
  for (let i = 0; i < 60; i++) {
    const choice = cost.choose(routeRequest(), [view], createTestRandom(i));
    if (choice) cost.firstToken(choice, prefillWork(4_000) / 50);
  }
  const learned = prefillWork(4_000) / cost.bestCaseMs('coder', 4_000);
  assert.ok(Math.abs(learned - 50) < 5, `${learned} tokens per ms`);
});

test('the subset follows work and objective and leaves one engine', () => {
  const sizes = fc.record({
    engines: fc.integer({min: 2, max: 600}),
    longWork: fc.integer({min: 0, max: 1e8}),
    shortWork: fc.integer({min: 0, max: 1e8}),
  });
  fc.assert(
    fc.property(sizes, ({engines, longWork, shortWork}) => {
      const [slow, done] = (['short_slowdown', 'completion'] as const).map(
        objective => {
          const share = createLongShare();
          share.record('coder', longWork, true, objective, 0);
          share.record('coder', shortWork, false, objective, 0);
          return share.subsetSize('coder', engines);
        },
      );
      assert.ok(slow! >= 1 && slow! <= done! && done! < engines);
    }),
    {seed: 99, numRuns: 200},
  );
});
