import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerLimits} from '@wisterialadder/core/configuration/caller_limits.js';
import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {BodyError} from '@wisterialadder/runtime/http/body_error.js';
import {createBodyReader} from '@wisterialadder/runtime/http/body_reader.js';
import {feedConnections} from '@wisterialadder/runtime/http/connection_feeds.js';
import {boundConnections} from '@wisterialadder/runtime/http/connection_bound.js';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';
import {lingerClose} from '@wisterialadder/runtime/http/linger_close.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import type {MemoryBudget} from '@wisterialadder/runtime/memory/memory_budget.js';
import type {CallerCodec} from './caller_codec.js';
import type {ConnectionEnd} from './connection_end.js';
import {close, listen} from './caller_listener.js';
import type {IntakeLimits} from './intake_limits.js';
import type {OpenRequests} from './open_requests.js';
import {createRequestReceiver, MAX_HEAD_BYTES} from './request_receiver.js';

/** Interval of the checks for heads that exceed their timeout. */
const CHECK_INTERVAL_MS = 500;
/** Idle connections outlast the published idle timeout by this margin. */
const IDLE_MARGIN_MS = 1_000;
/** Before the first configuration; the published one is 15 s. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Time within which a caller must send a whole request. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Heads over the limit up to this factor are refused with the caller's id. */
const HEAD_MARGIN_FACTOR = 2;

/** Time for which a server that ends refuses what still arrives. */
const REFUSING_MS = 100;

/** HTTP server for requests of callers. */
export interface CallerServer extends Disposable {
  readonly address: string;
  applyLimits(limits: CallerLimits): void;
  /** Makes each answer close its connection from now on. */
  closeCallers(idleToo: boolean): void;
  /** Whether each answer closes its connection. */
  closing(): boolean;
  /** Applies a changed bound on connections. */
  setMaxConnections(maxConnections: number): void;
  connections(): number;
}

/** Dependencies of a caller server. */
export interface CallerServerParts {
  address: string;
  codec: CallerCodec;
  open: OpenRequests;
  budget: MemoryBudget;
  maxConnections: number;
  intake(): IntakeLimits;
  push(event: GatewayEvent): boolean;
  onError(err: unknown): void;
  /** Called for each body that is given up. */
  onBodyDropped(reason: BodyError): void;
  /** Called for each connection that is closed for a limit. */
  onConnectionClosed(reason: ConnectionEnd): void;
}

/** Starts the server; rejects if the address cannot be bound. */
export async function startCallerServer(
  parts: CallerServerParts,
): Promise<CallerServer> {
  const {codec, open, budget, push} = parts;
  let idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
  let closing = false;

  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAlive: true,
      noDelay: true,
    },
    (req, res) => {
      receiver.receive(req, res).catch((err: unknown) => {
        parts.onError(err);
        res.destroy();
      });
    },
  );
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const connections = boundConnections(server, {
    maxConnections: parts.maxConnections,
    evictBody: budget.evictCostliest,
    onClosed: () => parts.onConnectionClosed('bound'),
  });
  const feeds = feedConnections(server, budget, () =>
    parts.onConnectionClosed('memory_short'),
  );
  const bodies = createBodyReader({
    budget,
    rate: () => ({
      minBytesPerS: parts.intake().minBytesPerS,
      windowMs: idleTimeoutMs + IDLE_MARGIN_MS,
    }),
    onReceived: feeds.bodyReceived,
    onDropped: parts.onBodyDropped,
  });
  const receiver = createRequestReceiver({
    codec,
    open,
    bodies,
    closeAfter,
    push,
  });

  function closeAfter(req: IncomingMessage, res: ServerResponse): void {
    lingerClose(req, res, parts.intake().linger);
    connections.closing(req.socket);
  }

  function applyLimits(limits: CallerLimits): void {
    receiver.applyLimits(limits);
    idleTimeoutMs = limits.idleTimeoutMs;
    server.headersTimeout = limits.headTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    setMaxHeaderSize(server, limits.maxHeadBytes * HEAD_MARGIN_FACTOR);
  }

  await listen(server, parts.address);
  server.on('error', parts.onError);
  const {host} = splitAddress(parts.address);

  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    applyLimits,
    closeCallers: idleToo => {
      closing = true;
      feeds.flush();
      if (idleToo) server.closeIdleConnections();
    },
    closing: () => closing,
    setMaxConnections: connections.setMax,
    connections: connections.open,
    dispose: async () => {
      closing = true;
      receiver.end();
      // For requests on connections that have just been accepted.
      await sleep(REFUSING_MS);
      feeds.flush();
      await close(server);
    },
  };
}

/** Applies to connections from now on; the types do not declare the field. */
function setMaxHeaderSize(server: Server, bytes: number): void {
  Object.assign(server, {maxHeaderSize: Math.min(MAX_HEAD_BYTES, bytes)});
}
