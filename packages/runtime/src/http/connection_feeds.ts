import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {MemoryBudget} from '../memory/memory_budget.js';
import {feedConnection, type ConnectionFeed} from './connection_feed.js';
import {createReadTurns} from './read_turns.js';

const EXPECTATION_FAILED = 417;

/** Feeds of all connections of a server. */
export interface ConnectionFeeds {
  /** A part of a request's body was received. */
  bodyReceived(req: IncomingMessage, bytes: number): void;
  /**
   * Parses a piece of each connection that waits for its turn. The server takes
   * a connection for idle whose next request is not parsed yet.
   */
  flush(): void;
}

/**
 * Parses the requests of each connection one after the other, and those of
 * all connections in turns.
 * @param server has no connection yet
 * @param onClosed called for each connection that is closed for lack of memory
 */
export function feedConnections(
  server: Server,
  budget: MemoryBudget,
  onClosed: () => void,
): ConnectionFeeds {
  const feeds = new WeakMap<Socket, ConnectionFeed>();
  const turns = createReadTurns();
  const parts = {budget, turns, onClosed};

  // The feed bounds the memory of a head; Node.js would leave lines out.
  server.maxHeadersCount = 0;
  server.on('connection', (socket: Socket) => {
    if (!socket.destroyed) feeds.set(socket, feedConnection(socket, parts));
  });
  function requestBegun(req: IncomingMessage, res: ServerResponse): void {
    feeds.get(req.socket)?.requestBegun(req, res);
  }

  server.prependListener('request', requestBegun);
  // Node.js answers these without a request event.
  server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
    requestBegun(req, res);
    res.writeHead(EXPECTATION_FAILED).end();
  });
  return {
    bodyReceived: ({socket}, bytes) => feeds.get(socket)?.bodyReceived(bytes),
    flush: turns.flush,
  };
}
