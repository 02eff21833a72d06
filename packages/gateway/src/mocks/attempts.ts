import {EventEmitter, once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import {createMemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';
import type {OpenRequests} from '../callers/open_requests.js';
import {
  createAttemptRunner,
  type AttemptRunner,
} from '../endpoints/attempt_runner.js';
import {FakeEndpointCodec} from './fake_endpoint_codec.js';

/** Default of the settings. */
const MAX_INTERIM = 16;
/** Budget of a VM of 250 MB. */
const MAX_HELD_BYTES = 67_108_864;

/** An attempt runner with its open requests and recorded events. */
export interface AttemptHarness {
  runner: AttemptRunner;
  open: OpenRequests;
  events: GatewayEvent[];
  /** Opens a request whose caller id equals its request id. */
  request(reqId: string): void;
  /** Resolves with the next event that ends an attempt. */
  nextEnd(): Promise<GatewayEvent>;
}

const END_EVENTS: ReadonlySet<GatewayEvent['kind']> = new Set([
  'answer_received',
  'attempt_failed',
  'stream_ended',
]);

/** Creates a harness that uses the codec for tests. */
export function createAttemptHarness(): AttemptHarness {
  const open: OpenRequests = new Map();
  const events: GatewayEvent[] = [];
  const emitter = new EventEmitter();
  const runner = createAttemptRunner({
    open,
    codec: new FakeEndpointCodec(),
    budget: createMemoryBudget(MAX_HELD_BYTES),
    maxInterim: () => MAX_INTERIM,
    push: event => {
      events.push(event);
      if (END_EVENTS.has(event.kind)) emitter.emit('end', event);
    },
  });
  return {
    runner,
    open,
    events,
    request: reqId => {
      open.set(reqId, {
        head: {method: 'POST', target: '/a/b?c', headers: {}, rawHeaders: []},
        callerId: reqId,
        body: Buffer.from('body'),
        res: {} as ServerResponse,
        answers: new Map(),
      });
    },
    nextEnd: async () => (await once(emitter, 'end'))[0] as GatewayEvent,
  };
}

/** Creates the action that starts a streamed attempt. */
export function attemptAction(
  overrides: Partial<StartAttempt> & {address: string},
): StartAttempt {
  return {
    kind: 'start_attempt',
    reqId: 'r1',
    attempt: 1,
    endpoint: 'e1',
    maxConnections: 4,
    streamed: true,
    customer: '',
    remainingMs: 1_000,
    notAfterMs: Number.POSITIVE_INFINITY,
    priority: 5,
    helpers: [],
    resumeAfter: 0,
    newConnection: false,
    ...overrides,
  };
}
