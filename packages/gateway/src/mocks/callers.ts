import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Refusal} from '@wisterialadder/core/forwarding/refusal.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import {
  createMemoryBudget,
  type MemoryBudget,
} from '@wisterialadder/runtime/memory/memory_budget.js';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';
import {
  createAnswerWriter,
  type AnswerWriter,
} from '../callers/answer_writer.js';
import {CallerCodec} from '../callers/caller_codec.js';
import type {CallerHead} from '../callers/caller_head.js';
import type {CallerRequest} from '../callers/caller_request.js';
import {
  startCallerServer,
  type CallerServer,
} from '../callers/caller_server.js';
import type {OpenRequests} from '../callers/open_requests.js';
import type {RefusalHead} from '../callers/refusal_head.js';
import {createUnreadAnswers} from '../callers/unread_answers.js';

/** Defaults of the settings. */
const MAX_UNREAD_BYTES = 2_097_152;
const STALL_MS = 60_000;
const MIN_BYTES_PER_S = 64;
const LINGER_MS = 1_000;
const MAX_DISCARDED_BYTES = 4_194_304;
/** Budget and descriptors of a VM of 250 MB. */
const MAX_HELD_BYTES = 67_108_864;
const MAX_CONNECTIONS = 1_500;

const STATUS: Partial<Record<Refusal, number>> = {
  head_too_large: 431,
  body_too_large: 413,
  overloaded: 503,
  draining: 503,
  broken: 502,
};

/** A codec for tests that takes the id of a request from `req-id`. */
export class FakeCallerCodec extends CallerCodec {
  override read({target, headers}: CallerHead): Result<CallerRequest, string> {
    if (!target.startsWith('/')) return Err('target is not a path');
    return Ok({
      callerId: String(headers['req-id'] ?? ''),
      identity: '',
      host: 'any',
      path: target,
      bearerKey: '',
      promptTokens: 0,
      maxOutputTokens: 0,
      expectedOutputTokens: 0,
      sharedParts: [],
      partsLeftOut: 0,
      resumeAfter: 0,
      remainingMs: undefined,
    });
  }

  override refusal(refusal: Refusal): RefusalHead {
    return {status: STATUS[refusal] ?? 400, headers: {}};
  }
}

/** A caller server with its recorded events and its answer writer. */
export interface CallerHarness {
  server: CallerServer;
  writer: AnswerWriter;
  open: OpenRequests;
  events: GatewayEvent[];
  budget: MemoryBudget;
  /** Opens a connection to the server. */
  connect(): Promise<CallerSocket>;
  /** Waits until at least `count` events are recorded. */
  waitForEvents(count: number): Promise<void>;
}

/** A caller's connection. */
export interface CallerSocket {
  socket: Socket;
  /** Everything received so far. */
  text(): string;
  /** Waits until the received text contains `text`. */
  waitForText(text: string): Promise<void>;
  closed: Promise<void>;
}

/** Starts a server that records requests without answering them. */
export async function startCallerHarness({
  address = '127.0.0.1:0',
  budgetBytes = MAX_HELD_BYTES,
  maxConnections = MAX_CONNECTIONS,
} = {}): Promise<CallerHarness> {
  const open: OpenRequests = new Map();
  const events: GatewayEvent[] = [];
  const codec = new FakeCallerCodec();
  const budget = createMemoryBudget(budgetBytes);
  const push = (event: GatewayEvent): boolean => {
    events.push(event);
    return true;
  };
  const server = await startCallerServer({
    address,
    codec,
    open,
    budget,
    maxConnections,
    intake: () => ({
      minBytesPerS: MIN_BYTES_PER_S,
      linger: {timeoutMs: LINGER_MS, maxBytes: MAX_DISCARDED_BYTES},
    }),
    push,
    onError: err => {
      throw err;
    },
    onBodyDropped: () => undefined,
    onConnectionClosed: () => undefined,
  });
  const {closing} = server;
  const writer = createAnswerWriter({
    open,
    codec,
    unread: createUnreadAnswers(
      budget,
      () => ({maxUnreadBytes: MAX_UNREAD_BYTES, stallMs: STALL_MS}),
      () => undefined,
    ),
    closing,
    push,
    onError: () => undefined,
  });
  return {
    server,
    writer,
    open,
    events,
    budget,
    connect: () => connectTo(server.address),
    waitForEvents: async count => {
      while (events.length < count) await sleep(2);
    },
  };
}

async function connectTo(address: string): Promise<CallerSocket> {
  const socket = connect(splitAddress(address));
  let text = '';
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise<void>(resolve =>
    socket.on('close', () => resolve()),
  );
  await new Promise(resolve => socket.once('connect', resolve));
  return {
    socket,
    text: () => text,
    waitForText: async wanted => {
      while (!text.includes(wanted)) await sleep(2);
    },
    closed,
  };
}
