import {connect, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';

/** A connection that is not established by then has failed. */
const CONNECT_TIMEOUT_MS = 400;
/** Several round trips between failure domains. */
const HEDGE_AFTER_MS = 60;
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);
/** Bytes of an answer's head that an endpoint may send. */
const MAX_HEAD_BYTES = 65_536;

/** One connection to an endpoint, with one request at a time. */
export interface EngineConnection {
  readonly address: string;
  /** Sends a request; the handler learns what becomes of it. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether it may carry a request after the one that has ended. */
  usable(): boolean;
  /**
   * Whether the endpoint closed it, which ends an answer without a length. A
   * connection that was reset is not closed.
   */
  closedByEndpoint(): Promise<boolean>;
  /** Closes the connection at once. */
  destroy(): void;
}

/**
 * Creates a connection, established with its first request.
 * @param gone called once when it can carry no further request
 */
export function createEngineConnection(
  address: string,
  gone: () => void,
): EngineConnection {
  let socket: Socket | undefined;
  let ended = false;
  let closed: Promise<boolean> = Promise.resolve(false);
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    // The pool closes idle connections and the core judges every timeout.
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEAD_BYTES,
    connect: (options, callback) => {
      if (socket) {
        // Each connection is opened once, so that the pool can count them.
        callback(new Error('connection is closed'), null);
        return;
      }
      openSocket(options.hostname, Number(options.port), (err, opened) => {
        if (!opened) return callback(err ?? new Error('not connected'), null);
        socket = opened;
        opened.once('end', () => {
          closed = checkClosed(opened);
        });
        callback(null, opened);
      });
    },
  });
  client.on('disconnect', end);
  client.on('connectionError', end);

  function end(): void {
    if (ended) return;
    ended = true;
    gone();
    void client.destroy();
  }

  return {
    address,
    dispatch: (options, handler) => {
      client.dispatch(options, handler);
    },
    usable: () => !ended && socket?.destroyed === false,
    closedByEndpoint: () => closed,
    destroy: end,
  };
}

/**
 * Connects. A lost opening packet is repeated by the network only after a
 * second, so a second connection is tried soon; the first one that is
 * established is taken.
 */
function openSocket(
  host: string,
  port: number,
  done: (err: Error | undefined, socket?: Socket) => void,
): void {
  const sockets: Socket[] = [];
  let settled = false;

  function settle(err: Error | undefined, winner?: Socket): void {
    if (settled) return;
    settled = true;
    clearTimeout(hedge);
    clearTimeout(limit);
    for (const socket of sockets) {
      if (socket !== winner) socket.destroy();
    }
    done(err, winner);
  }

  function attempt(): void {
    // Half open, so that the end of what is read can be checked.
    const socket = connect({host, port, noDelay: true, allowHalfOpen: true});
    sockets.push(socket);
    socket.on('error', settle);
    socket.once('connect', () => {
      socket.removeListener('error', settle);
      settle(undefined, socket);
    });
  }

  const hedge = setTimeout(attempt, HEDGE_AFTER_MS);
  const limit = setTimeout(
    () => settle(new Error('connect timeout')),
    CONNECT_TIMEOUT_MS,
  );
  attempt();
}

/**
 * A reset that follows the last bytes can look like their end. Only a write
 * shows it; servers ignore an empty line between requests.
 */
function checkClosed(socket: Socket): Promise<boolean> {
  return new Promise(resolve => {
    socket.write('\r\n', err => {
      const code = (err as NodeJS.ErrnoException | null)?.code ?? '';
      resolve(!RESET_CODES.has(code));
    });
  });
}
