import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import type {TestContext} from 'node:test';
import {createBodyReader} from '../http/body_reader.js';
import type {BodyRate} from '../http/body_rate.js';
import {feedConnections} from '../http/connection_feeds.js';
import {boundConnections} from '../http/connection_bound.js';
import {lingerClose} from '../http/linger_close.js';
import {
  createMemoryBudget,
  type MemoryBudget,
} from '../memory/memory_budget.js';

const LINGER = {timeoutMs: 200, maxBytes: 1_000_000};

/** Limits of a server that answers with the length or the error of a body. */
export interface BodyServerLimits {
  maxBytes?: number;
  budgetBytes?: number;
  maxConnections?: number;
  rate?: BodyRate;
}

/** A server that reads bodies within a budget. */
export interface BodyServer {
  server: Server;
  budget: MemoryBudget;
  /** Bytes of bodies that were read so far. */
  receivedBytes(): number;
  connect(): Promise<BodyCaller>;
}

/** A connection with everything that it received. */
export interface BodyCaller {
  socket: Socket;
  closed: Promise<void>;
  /** Resolves with the text received up to and including `wanted`. */
  text(wanted: string): Promise<string>;
}

/** Starts a server on a free port. */
export async function startBodyServer(
  t: TestContext,
  limits: BodyServerLimits = {},
): Promise<BodyServer> {
  const budget = createMemoryBudget(limits.budgetBytes ?? 1_000_000);
  let receivedBytes = 0;
  const bodies = createBodyReader({
    budget,
    rate: () => limits.rate ?? {minBytesPerS: 0, windowMs: 1_000},
    onReceived: (req, bytes) => {
      receivedBytes += bytes;
      feeds.bodyReceived(req, bytes);
    },
    onDropped: () => undefined,
  });
  const server = createServer((req, res) => {
    void bodies.read(req, res, limits.maxBytes ?? 100_000).then(body => {
      if (body.ok) return void res.end(`read ${body.val.length}.`);
      lingerClose(req, res, LINGER);
      connections.closing(req.socket);
      res.end(`${body.val}.`);
    });
  });
  const connections = boundConnections(server, {
    maxConnections: limits.maxConnections ?? 100,
    evictBody: budget.evictCostliest,
    onClosed: () => undefined,
  });
  const feeds = feedConnections(server, budget, () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    server,
    budget,
    receivedBytes: () => receivedBytes,
    connect: () => connectTo(port),
  };
}

async function connectTo(port: number): Promise<BodyCaller> {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise<void>(resolve =>
    socket.once('close', () => resolve()),
  );
  await once(socket, 'connect');
  return {
    socket,
    closed,
    text: async wanted => {
      while (!text.includes(wanted)) await once(socket, 'data');
      return text;
    },
  };
}
