import type {Server} from 'node:http';
import {
  takeEarlyListener,
  type EarlyListener,
} from '@wisterialadder/runtime/http/early_listener.js';
import {splitAddress} from '@wisterialadder/runtime/http/http_server.js';

/** Time until a server that ends closes connections that are still open. */
const CLOSE_TIMEOUT_MS = 400;

/** Makes a server listen; rejects if the address cannot be bound. */
export async function listen(server: Server, address: string): Promise<void> {
  const early = takeEarlyListener(address);
  if (early) return adopt(server, early);
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  server.removeAllListeners('error');
}

/** Leaves callers a moment to finish what they are sending. */
export function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    const limit = setTimeout(
      () => server.closeAllConnections(),
      CLOSE_TIMEOUT_MS,
    );
    server.close(() => {
      clearTimeout(limit);
      resolve();
    });
    server.closeIdleConnections();
  });
}

/** Takes over a listening socket and the connections that it has accepted. */
async function adopt(
  server: Server,
  {server: listening, sockets}: EarlyListener,
): Promise<void> {
  await new Promise<void>(resolve => server.listen(listening, resolve));
  for (const socket of sockets) {
    if (socket.destroyed) continue;
    socket.removeAllListeners('error');
    server.emit('connection', socket);
    socket.resume();
  }
}
