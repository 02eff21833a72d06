import {EventEmitter, once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {StartAttempt} from '@wisterialadder/core/gateway/actions/start_attempt.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {OpenRequests} from '../callers/open_requests.js';
import {
  createAttemptRunner,
  type AttemptRunner,
} from '../endpoints/attempt_runner.js';
import {PlainCodec} from './plain_codec.js';

/** A runner of attempts and what it has told. */
export interface AttemptHarness {
  runner: AttemptRunner;
  open: OpenRequests;
  events: GatewayEvent[];
  /** Opens a request with its id as the caller's id. */
  request(reqId: string): void;
  /** Resolves with the next event that ends an attempt. */
  ended(): Promise<GatewayEvent>;
}

const ENDINGS: ReadonlySet<GatewayEvent['kind']> = new Set([
  'answer_received',
  'attempt_failed',
  'stream_ended',
]);

/** Creates a harness with a codec for tests. */
export function createAttemptHarness(): AttemptHarness {
  const open: OpenRequests = new Map();
  const events: GatewayEvent[] = [];
  const heard = new EventEmitter();
  const runner = createAttemptRunner({
    open,
    codec: new PlainCodec(),
    push: event => {
      events.push(event);
      if (ENDINGS.has(event.kind)) heard.emit('end', event);
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
    ended: async () => (await once(heard, 'end'))[0] as GatewayEvent,
  };
}

/** An attempt for a stream at an endpoint. */
export function startAttempt(
  over: Partial<StartAttempt> & {address: string},
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
    ...over,
  };
}
