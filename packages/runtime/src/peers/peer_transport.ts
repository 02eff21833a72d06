import {createServer, type Http2Server} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type ConnectRouter,
  type Interceptor,
} from '@connectrpc/connect';
import {
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {PeerService, type ExchangeRequest} from '../gen/peer_pb.js';
import {splitAddress} from '../http/http_server.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {sameSecret} from './same_secret.js';

const SEND_TIMEOUT_MS = 1_000;
/** Far above the copy of a large fleet's configuration and registry. */
const MAX_MESSAGE_BYTES = 16_777_216;
const SECRET_HEADER = 'wl-peer-secret';
const UNAUTHORIZED_STATUS = 401;

/** A message, identified by its kind. */
interface Message {
  kind: string;
}

/** Messages between the processes of a fleet. */
export interface PeerTransport<M extends Message> extends Disposable {
  /** Address it listens on, `IP:PORT`. */
  readonly address: string;
  /** Sends without waiting; a message may be lost. */
  send(to: string, message: M): void;
  /** Bytes of message bodies sent so far. */
  bytesSent(): number;
}

/** Settings of a transport and the handler of received messages. */
export interface PeerTransportParts<M extends Message> {
  address: string;
  secret: string;
  incarnation: number;
  onMessage(from: string, incarnation: number, message: M): void;
}

/** Starts the server; rejects if the address cannot be bound. */
export async function startPeerTransport<M extends Message>(
  parts: PeerTransportParts<M>,
): Promise<PeerTransport<M>> {
  const clients = new Map<string, Client<typeof PeerService>>();
  const sessions = new Set<{destroy(): void}>();
  let bytesSent = 0;
  const handle = connectNodeAdapter({
    routes: router => registerService(router, parts),
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  const server = createServer((req, res) => {
    const secret = String(req.headers[SECRET_HEADER] ?? '');
    if (sameSecret(secret, parts.secret)) return handle(req, res);
    // Only peers may send bodies, which are kept until they are complete.
    res.writeHead(UNAUTHORIZED_STATUS);
    res.end(() => res.stream.close());
  });
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  const address = await listen(server, parts.address);

  function clientFor(to: string): Client<typeof PeerService> {
    const known = clients.get(to);
    if (known) return known;
    const transport = createConnectTransport({
      baseUrl: `http://${to}`,
      httpVersion: '2',
      interceptors: [withSecret(parts.secret)],
    });
    const created = createClient(PeerService, transport);
    clients.set(to, created);
    return created;
  }

  function send(to: string, message: M): void {
    const {kind, ...fields} = message;
    const body = Buffer.from(JSON.stringify(fields));
    bytesSent += body.length;
    const req = {
      from: address,
      incarnation: BigInt(parts.incarnation),
      messages: [{kind, body}],
    };
    clientFor(to)
      .exchange(req, {timeoutMs: SEND_TIMEOUT_MS})
      // Delivery is best effort; the receiver detects lost messages.
      .catch(() => undefined);
  }

  return {
    address,
    send,
    bytesSent: () => bytesSent,
    dispose: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}

function registerService<M extends Message>(
  router: ConnectRouter,
  parts: PeerTransportParts<M>,
): void {
  router.service(PeerService, {
    exchange: (req: ExchangeRequest) => {
      for (const {kind, body} of req.messages) {
        const fields = parseBody(body);
        const message = {kind, ...fields} as unknown as M;
        parts.onMessage(req.from, Number(req.incarnation), message);
      }
      return {};
    },
  });
}

function parseBody(body: Uint8Array): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    if (typeof value === 'object' && value !== null) {
      return value as Record<string, unknown>;
    }
  } catch {
    // Reported below together with other malformed bodies.
  }
  throw new ConnectError('malformed message', Code.InvalidArgument);
}

function withSecret(secret: string): Interceptor {
  return next => req => {
    req.header.set(SECRET_HEADER, secret);
    return next(req);
  };
}

async function listen(server: Http2Server, address: string): Promise<string> {
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}
