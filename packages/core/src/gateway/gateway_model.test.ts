import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Route} from '../configuration/route.js';
import {
  callArrived,
  entryChange,
  readyGateway,
  requestArrived,
} from '../mocks/gateway_harness.js';
import {
  callRoute,
  configuration,
  endpointEntry,
  streamRoute,
} from '../mocks/gateway_parts.js';
import {createModelEndpoints} from '../mocks/model_endpoints.js';
import {peerReceived, workNotice} from '../mocks/peer_parts.js';
import {createHintChecker} from '../mocks/hint_checker.js';
import {createInvariantChecker} from '../mocks/invariant_checker.js';
import {scheduleCount} from '../mocks/schedule_count.js';
import {createTestRandom} from '../mocks/step_harness.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {GatewayEvent} from './events/gateway_event.js';
import type {RequestArrived} from './events/request_arrived.js';

const SEED = 20_261_204;
const TICK_MS = 25;
/** Longer than the timeout of every request. */
const FINAL_RUN_MS = 16_000;
const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];

const LOOKUP = streamRoute();
const RUN = streamRoute({
  name: 'run',
  prefix: '/run/',
  timeoutMs: 15_000,
  targetMs: 3_000,
  targetGapMs: 1_000,
});
const ONCE = streamRoute({name: 'once', prefix: '/once/', resumable: false});
const WRITE = callRoute({maxAttempts: 2});
const READ = callRoute({
  name: 'read',
  prefix: '/read/',
  kind: 'idempotent',
  maxAttempts: 2,
});

interface Step {
  kind:
    | 'lookup'
    | 'repeat'
    | 'run'
    | 'large'
    | 'once'
    | 'write'
    | 'read'
    | 'peer_reads'
    | 'engine_leaves'
    | 'engines_join'
    | 'caller_leaves'
    | 'pause'
    | 'stop';
  /** Selects an engine, a request or a size. */
  a: number;
  waitMs: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    {
      weight: 9,
      arbitrary: fc.constantFrom(
        ...(['lookup', 'repeat', 'run', 'large', 'once'] as const),
        ...(['write', 'read'] as const),
      ),
    },
    {
      weight: 4,
      arbitrary: fc.constantFrom(
        ...(['peer_reads', 'engine_leaves', 'engines_join'] as const),
        ...(['caller_leaves', 'pause'] as const),
      ),
    },
    {weight: 1, arbitrary: fc.constant('stop' as const)},
  ),
  a: fc.nat({max: 11}),
  waitMs: fc.constantFrom(0, 0, 25, 100, 600, 2_000),
});

/** One record of the store's log. */
function registryChange(entry: EndpointEntry, offset: number): GatewayEvent {
  return {
    kind: 'registry_read',
    listing: false,
    fromOffset: offset,
    nextOffset: offset + 1,
    changes: [entryChange(entry, offset)],
  };
}

function requestOf({kind, a}: Step, reqId: string): [RequestArrived, Route] {
  const remainingMs = [500, 2_000, 10_000, 20_000][a % 4];
  const size = {reqId, remainingMs, promptTokens: 2_000 * (a + 1)};
  switch (kind) {
    case 'repeat':
      return [requestArrived({...size, resumeAfter: a}), LOOKUP];
    case 'run':
      return [
        requestArrived({...size, path: '/run/1', promptTokens: 30_000 * a}),
        RUN,
      ];
    case 'large':
      return [
        requestArrived({...size, path: '/run/1', promptTokens: 60_000 * a}),
        RUN,
      ];
    case 'once':
      return [requestArrived({...size, path: '/once/1'}), ONCE];
    case 'write':
      return [callArrived('/write/1', {reqId, remainingMs}), WRITE];
    case 'read':
      return [callArrived('/read/1', {reqId, remainingMs}), READ];
    default:
      return [requestArrived(size), LOOKUP];
  }
}

function runSchedule(seed: number, steps: Step[]): void {
  const routes = [LOOKUP, RUN, ONCE, WRITE, READ];
  const services = ['s1', 's2', 's3'].map(id =>
    endpointEntry({id, service: 'register'}),
  );
  const gateway = readyGateway({
    configuration: configuration({routes}),
    entries: [...ENGINES.map(id => endpointEntry({id})), ...services],
  });
  const endpoints = createModelEndpoints(createTestRandom(seed));
  const checker = createInvariantChecker();
  const hints = createHintChecker();
  let arrivals = 0;
  let sequence = 10;

  function feed(event: GatewayEvent, advanceMs = 0): void {
    const actions = gateway.step(event, advanceMs);
    const nowMs = gateway.nowMs();
    checker.eventFed(event);
    for (const action of actions) {
      checker.actionTaken(action, nowMs);
      hints.actionTaken(action, nowMs);
      endpoints.take(nowMs, action);
    }
    // Due work is handled before the event, so it does not know the hints.
    hints.eventFed(event, nowMs);
    checker.checkDeadlines(nowMs);
  }

  function run(ms: number): void {
    for (let ranMs = 0; ranMs < ms; ranMs += TICK_MS) {
      feed({kind: 'tick'}, TICK_MS);
      for (const event of endpoints.due(gateway.nowMs())) feed(event);
    }
  }

  function arrive(request: Step): void {
    arrivals += 1;
    const [event, route] = requestOf(request, `r${arrivals}`);
    checker.arrived(event, route, gateway.nowMs());
    feed(event);
  }

  function perform({kind, a}: Step): void {
    sequence += 1;
    const id = ENGINES[a % ENGINES.length]!;
    switch (kind) {
      case 'engine_leaves': {
        const entry = endpointEntry({id, state: 'leaving', sequence});
        return feed(registryChange(entry, sequence));
      }
      case 'engines_join': {
        const entry = endpointEntry({id: `j${sequence}`, sequence});
        return feed(registryChange(entry, sequence));
      }
      case 'peer_reads': {
        const helpers = ENGINES.filter(other => other !== id);
        const work = workNotice({main: id, helpers, work: sequence});
        const changes = {started: [work], writing: [], ended: []};
        const update = {
          kind: 'work_update',
          passOn: false,
          ...changes,
        } as const;
        return feed(peerReceived('10.0.0.2:7000', update));
      }
      case 'caller_leaves': {
        const open = checker.open();
        const reqId = open[a % Math.max(1, open.length)];
        if (reqId) feed({kind: 'caller_left', reqId});
        return;
      }
      case 'pause':
        checker.paused(a * 100);
        return feed({kind: 'tick'}, a * 100);
      case 'stop':
        return feed({kind: 'stop_requested'});
      default:
        return arrive({kind, a, waitMs: 0});
    }
  }

  for (const next of steps) {
    perform(next);
    run(next.waitMs);
  }
  run(FINAL_RUN_MS);
  assert.deepEqual(checker.open(), []);
  checker.checkEnd();
}

test('no schedule of events violates an invariant towards a caller', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.array(step, {minLength: 3, maxLength: 30}),
      runSchedule,
    ),
    {numRuns: scheduleCount(), seed: SEED, includeErrorInReport: true},
  );
});
