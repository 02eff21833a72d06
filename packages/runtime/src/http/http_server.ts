import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Disposable} from '../lifecycle/disposable.js';
import type {HttpRoute} from './http_route.js';
import {sendJson} from './send_json.js';
import type {ServerIntake} from './server_intake.js';

/** Time until a disposed server closes connections that are still open. */
const CLOSE_TIMEOUT_MS = 2_000;

/** A listening HTTP server. */
export interface HttpServer extends Disposable {
  /** Address it listens on, `IP:PORT`. */
  readonly address: string;
}

/**
 * Starts a server; rejects if the address cannot be bound.
 * @param intake bounds its connections, if callers are not trusted
 */
export async function startHttpServer(
  address: string,
  routes: HttpRoute[],
  onError: (err: unknown) => void,
  intake?: ServerIntake,
): Promise<HttpServer> {
  const server = createServer((req, res) => {
    handleRequest(routes, req, res).catch((err: unknown) => {
      onError(err);
      if (!res.headersSent) sendJson(res, 500, {error: 'internal'});
      else res.destroy();
    });
  });
  intake?.bound(server);
  // No request timeout: streams of long answers may be silent for minutes.
  server.requestTimeout = 0;
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  server.on('error', onError);
  const bound = server.address() as AddressInfo;

  return {
    address: `${host}:${bound.port}`,
    // Connections stay open at first, as sockets may still buffer responses.
    dispose: () =>
      new Promise(resolve => {
        const forceClose = setTimeout(
          () => server.closeAllConnections(),
          CLOSE_TIMEOUT_MS,
        );
        server.close(() => {
          clearTimeout(forceClose);
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}

async function handleRequest(
  routes: HttpRoute[],
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const path = (req.url ?? '/').split('?')[0] ?? '/';
  let pathKnown = false;
  for (const route of routes) {
    const match = route.path.exec(path);
    if (!match) continue;
    pathKnown = true;
    if (route.method !== req.method) continue;
    await route.handler(req, res, {...match.groups});
    return;
  }
  const status = pathKnown ? 405 : 404;
  sendJson(res, status, {error: pathKnown ? 'method' : 'not_found'});
}

/** Splits `IP:PORT`. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
