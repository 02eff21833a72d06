import {connect, type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';

/** Timeout of connecting, over both connection attempts. */
const CONNECT_TIMEOUT_MS = 400;
/** Delay of the hedge: several round trips between failure domains. */
const HEDGE_DELAY_MS = 60;
/** The client ends a connection after an answer without a length. */
const CLIENT_ENDED_CODE = 'UND_ERR_INFO';
/** Largest head of an answer. */
const MAX_HEAD_BYTES = 65_536;

/** A connection to an endpoint that carries one request at a time. */
export interface EndpointConnection {
  readonly address: string;
  /** Sends a request and passes the answer or the error to the handler. */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Whether the connection can carry another request. */
  isUsable(): boolean;
  /** Whether a part of the last request is not sent yet. */
  isUploading(): boolean;
  /**
   * Whether the endpoint closed the connection in order after it had taken the
   * whole request, which ends an answer without a length. A reset does not
   * count as a close.
   */
  closedByEndpoint(): Promise<boolean>;
  /** Bytes received so far. */
  receivedBytes(): number;
  /** Closes the connection at once. */
  destroy(): void;
}

/**
 * Creates a connection that is established with its first request.
 * @param onClosed called once when it can carry no further request
 */
export function createEndpointConnection(
  address: string,
  onClosed: () => void,
): EndpointConnection {
  let socket: Socket | undefined;
  let isClosed = false;
  let endpointClosed: Promise<boolean> = Promise.resolve(false);
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    // The pool closes idle connections and the core applies every timeout.
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEAD_BYTES,
    connect: (options, callback) => {
      if (socket) {
        // The client must not reconnect: the pool counts each connection once.
        callback(new Error('connection is closed'), null);
        return;
      }
      openSocket(options.hostname, Number(options.port), (err, opened) => {
        if (!opened) return callback(err ?? new Error('not connected'), null);
        socket = opened;
        opened.once('end', () => {
          endpointClosed = checkClosed(opened);
        });
        callback(null, opened);
      });
    },
  });
  client.on('disconnect', close);
  client.on('connectionError', close);

  function close(): void {
    if (isClosed) return;
    isClosed = true;
    onClosed();
    void client.destroy();
  }

  return {
    address,
    dispatch: (options, handler) => {
      client.dispatch(options, handler);
    },
    isUsable: () => !isClosed && socket?.destroyed === false,
    closedByEndpoint: () => endpointClosed,
    isUploading: () => (socket?.writableLength ?? 0) > 0,
    receivedBytes: () => socket?.bytesRead ?? 0,
    destroy: close,
  };
}

/**
 * Connects with a hedged second attempt, because a lost SYN is retransmitted
 * only after a second. Keeps the connection that is established first.
 */
export function openSocket(
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
    // Half open, so that `checkClosed` can still write after a received FIN.
    const socket = connect({host, port, noDelay: true, allowHalfOpen: true});
    sockets.push(socket);
    socket.on('error', settle);
    socket.once('connect', () => {
      socket.removeListener('error', settle);
      settle(undefined, socket);
    });
  }

  const hedge = setTimeout(attempt, HEDGE_DELAY_MS);
  const limit = setTimeout(
    () => settle(new Error('connect timeout')),
    CONNECT_TIMEOUT_MS,
  );
  attempt();
}

/**
 * Writes to the connection, since a reset that arrives with the last bytes is
 * read as their end; only a write shows it. Servers ignore an empty line
 * between requests. While the upload is still being sent, the write would wait
 * behind it, and nothing proves that the answer is whole.
 */
function checkClosed(socket: Socket): Promise<boolean> {
  if (socket.writableLength > 0) return Promise.resolve(false);
  return new Promise(resolve => {
    socket.write('\r\n', err => {
      const code = (err as NodeJS.ErrnoException | null)?.code;
      resolve(code === undefined || code === CLIENT_ENDED_CODE);
    });
  });
}
