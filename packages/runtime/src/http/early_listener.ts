import type {Server, Socket} from 'node:net';

/**
 * A socket that listens before the program is loaded, so that connections wait
 * instead of being refused. The start script opens it.
 */
export interface EarlyListener {
  /** As in the settings, `IP:PORT`. */
  address: string;
  server: Server;
  /** Connections that were accepted so far; nothing was read from them. */
  sockets: Socket[];
}

/** Where the start script, which is not part of the bundle, leaves it. */
const EARLY_LISTENER = Symbol.for('wisterialadder.early_listener');

/** Hands the early listener of an address over; undefined if there is none. */
export function takeEarlyListener(address: string): EarlyListener | undefined {
  const holder = globalThis as {[EARLY_LISTENER]?: EarlyListener};
  const listener = holder[EARLY_LISTENER];
  if (listener?.address !== address) return undefined;
  delete holder[EARLY_LISTENER];
  return listener;
}
