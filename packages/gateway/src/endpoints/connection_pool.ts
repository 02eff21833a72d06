import {performance} from 'node:perf_hooks';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {
  createEndpointConnection,
  type EndpointConnection,
} from './endpoint_connection.js';

/** The pool closes idle connections this long before the endpoint would. */
const KEEP_ALIVE_MARGIN_MS = 2_000;
/** Applies where the endpoint states no keep-alive time. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** A connection that was idle for longer has likely died unnoticed. */
const MAX_KEEP_ALIVE_MS = 8_000;
const SWEEP_INTERVAL_MS = 1_000;

/** Exclusive use of a connection for one request. */
export interface ConnectionLease {
  connection: EndpointConnection;
  /** Requests that the connection carried before. */
  earlierRequests: number;
  /** Returns the connection to the pool after a complete answer. */
  release(keepAliveMs: number | undefined): void;
  /** Closes the connection; nothing more may be read from it. */
  discard(): void;
}

/** Reuses connections to endpoints and limits their number. */
export interface ConnectionPool extends Disposable {
  /**
   * Takes an idle connection, unless `requireNew`, or opens another one.
   * @returns undefined if the endpoint's connections are all in use
   */
  acquire(
    endpoint: string,
    address: string,
    maxConnections: number,
    requireNew: boolean,
  ): ConnectionLease | undefined;
  /** Closes idle connections to endpoints that are not listed. */
  closeIdleExcept(endpoints: string[]): void;
}

interface IdleConnection {
  connection: EndpointConnection;
  expiresMs: number;
}

interface EndpointPool {
  open: number;
  idle: IdleConnection[];
}

/** Creates a pool without connections. */
export function createConnectionPool(): ConnectionPool {
  const endpoints = new Map<string, EndpointPool>();
  let lastConnectionId = 0;
  const sweeper = setInterval(sweep, SWEEP_INTERVAL_MS);
  sweeper.unref();

  function connectionsOf(endpoint: string): EndpointPool {
    let connections = endpoints.get(endpoint);
    if (!connections) {
      connections = {open: 0, idle: []};
      endpoints.set(endpoint, connections);
    }
    return connections;
  }

  function acquire(
    endpoint: string,
    address: string,
    maxConnections: number,
    requireNew: boolean,
  ): ConnectionLease | undefined {
    const connections = connectionsOf(endpoint);
    const idle = requireNew ? undefined : takeIdle(connections, address);
    if (idle) return leaseOf(connections, idle);
    if (connections.open >= maxConnections) {
      const oldestIdle = connections.idle.shift();
      if (!oldestIdle) return undefined;
      oldestIdle.connection.destroy();
    }
    return leaseOf(connections, open(connections, address));
  }

  function open(
    connections: EndpointPool,
    address: string,
  ): EndpointConnection {
    lastConnectionId += 1;
    const id = lastConnectionId;
    const connection = createEndpointConnection(id, address, () => {
      connections.open -= 1;
      connections.idle = connections.idle.filter(
        idle => idle.connection !== connection,
      );
    });
    connections.open += 1;
    return connection;
  }

  function takeIdle(
    connections: EndpointPool,
    address: string,
  ): EndpointConnection | undefined {
    const nowMs = performance.now();
    const uploading: IdleConnection[] = [];
    let found: EndpointConnection | undefined;
    while (!found) {
      const idle = connections.idle.pop();
      if (!idle) break;
      const {connection, expiresMs} = idle;
      const eligible = expiresMs > nowMs && connection.address === address;
      if (!eligible || !connection.isUsable()) connection.destroy();
      else if (connection.isUploading()) uploading.push(idle);
      else found = connection;
    }
    // An endpoint may answer first and read the rest of the upload later.
    connections.idle.push(...uploading.reverse());
    return found;
  }

  function leaseOf(
    connections: EndpointPool,
    connection: EndpointConnection,
  ): ConnectionLease {
    return {
      connection,
      earlierRequests: connection.requestCount(),
      release: keepAliveMs => {
        const idleLimitMs =
          keepAliveMs === undefined
            ? DEFAULT_KEEP_ALIVE_MS
            : Math.min(MAX_KEEP_ALIVE_MS, keepAliveMs - KEEP_ALIVE_MARGIN_MS);
        if (idleLimitMs <= 0) return connection.destroy();
        const expiresMs = performance.now() + idleLimitMs;
        connections.idle.push({connection, expiresMs});
      },
      discard: () => connection.destroy(),
    };
  }

  function sweep(): void {
    const nowMs = performance.now();
    for (const [endpoint, connections] of endpoints) {
      for (const {connection, expiresMs} of [...connections.idle]) {
        if (expiresMs <= nowMs) connection.destroy();
      }
      if (connections.open === 0) endpoints.delete(endpoint);
    }
  }

  function closeIdle(connections: EndpointPool): void {
    for (const {connection} of [...connections.idle]) connection.destroy();
  }

  return {
    acquire,
    closeIdleExcept: retained => {
      const names = new Set(retained);
      for (const [endpoint, connections] of endpoints) {
        if (!names.has(endpoint)) closeIdle(connections);
      }
    },
    dispose: () => {
      clearInterval(sweeper);
      for (const connections of endpoints.values()) closeIdle(connections);
    },
  };
}
