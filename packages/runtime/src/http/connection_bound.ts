import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

/** A new connection has this long to send its first head undisturbed. */
const FIRST_HEAD_MS = 1_000;

/** Bounds the connections of a server by closing idle ones. */
export interface ConnectionBound {
  setMax(maxConnections: number): void;
  /** A connection is only kept until its refusal has been read. */
  closing(socket: Socket): void;
  open(): number;
}

/** Dependencies of a connection bound. */
export interface ConnectionBoundParts {
  maxConnections: number;
  /** Gives up an unfinished body; false if there is none. */
  evictBody(): boolean;
  /** Called for each connection that is closed for the bound. */
  onClosed(): void;
}

/** Applies a bound to a server that has no connection yet. */
export function boundConnections(
  server: Server,
  parts: ConnectionBoundParts,
): ConnectionBound {
  let {maxConnections} = parts;
  let open = 0;
  /** Insertion order is order of time; the values are its milliseconds. */
  const refused = new Map<Socket, number>();
  const unused = new Map<Socket, number>();
  const idle = new Map<Socket, number>();
  const waiting = [refused, unused, idle];

  function onConnection(socket: Socket): void {
    open += 1;
    socket.once('close', () => {
      open -= 1;
      for (const sockets of waiting) sockets.delete(socket);
    });
    if (open > maxConnections) makeRoom(socket);
    if (!socket.destroyed) unused.set(socket, performance.now());
  }

  function makeRoom(added: Socket): void {
    const useless = longestUseless();
    // The refusal of a body that is given up ends its connection soon.
    if (!useless && parts.evictBody()) return;
    const victim = useless ?? added;
    for (const sockets of waiting) sockets.delete(victim);
    victim.destroy();
    parts.onClosed();
  }

  function longestUseless(): Socket | undefined {
    const silentSinceMs = performance.now() - FIRST_HEAD_MS;
    const silent = first(unused);
    const isSilent = silent && (unused.get(silent) ?? 0) < silentSinceMs;
    return (
      first(refused) ?? (isSilent ? silent : undefined) ?? first(idle) ?? silent
    );
  }

  function onRequest({socket}: IncomingMessage, res: ServerResponse): void {
    unused.delete(socket);
    idle.delete(socket);
    res.once('close', () => {
      if (socket.destroyed || refused.has(socket)) return;
      idle.set(socket, performance.now());
    });
  }

  server.on('connection', onConnection);
  server.prependListener('request', onRequest);
  return {
    setMax: next => {
      maxConnections = next;
    },
    closing: socket => {
      unused.delete(socket);
      idle.delete(socket);
      if (!socket.destroyed) refused.set(socket, performance.now());
    },
    open: () => open,
  };
}

function first(sockets: Map<Socket, number>): Socket | undefined {
  return sockets.keys().next().value;
}
