import {performance} from 'node:perf_hooks';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {createCarriedIds, type CarriedIds} from './carried_ids.js';
import type {ConnectionRequest} from './connection_request.js';
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
  /** Number of the connection in this process, for logs. */
  connectionId: number;
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
   * Takes an idle connection on which an answer can be told from those to
   * earlier requests, or opens another one.
   * @returns undefined if the endpoint's connections are all in use
   */
  acquire(wanted: ConnectionRequest): ConnectionLease | undefined;
  /** Closes idle connections to endpoints that are not listed. */
  closeIdleExcept(endpoints: string[]): void;
}

interface PooledConnection {
  id: number;
  connection: EndpointConnection;
  carried: CarriedIds;
  /** When it is closed if it is still idle. */
  expiresMs: number;
}

interface EndpointPool {
  open: number;
  idle: PooledConnection[];
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

  function acquire(wanted: ConnectionRequest): ConnectionLease | undefined {
    const connections = connectionsOf(wanted.endpoint);
    const idle = wanted.requireNew ? undefined : takeIdle(connections, wanted);
    if (idle) return leaseOf(connections, idle, wanted.callerId);
    if (connections.open >= wanted.maxConnections) {
      const oldestIdle = connections.idle.shift();
      if (!oldestIdle) return undefined;
      oldestIdle.connection.destroy();
    }
    const opened = open(connections, wanted.address);
    return leaseOf(connections, opened, wanted.callerId);
  }

  function open(connections: EndpointPool, address: string): PooledConnection {
    const connection = createEndpointConnection(address, () => {
      connections.open -= 1;
      connections.idle = connections.idle.filter(
        idle => idle.connection !== connection,
      );
    });
    connections.open += 1;
    lastConnectionId += 1;
    const carried = createCarriedIds();
    return {id: lastConnectionId, connection, carried, expiresMs: 0};
  }

  function takeIdle(
    connections: EndpointPool,
    {address, callerId}: ConnectionRequest,
  ): PooledConnection | undefined {
    const nowMs = performance.now();
    const unsuited: PooledConnection[] = [];
    let found: PooledConnection | undefined;
    while (!found) {
      const idle = connections.idle.pop();
      if (!idle) break;
      const {connection, carried, expiresMs} = idle;
      const eligible = expiresMs > nowMs && connection.address === address;
      if (!eligible || !connection.isUsable()) connection.destroy();
      // An endpoint may answer first and read the rest of the upload later.
      else if (connection.isUploading() || carried.mayHold(callerId))
        unsuited.push(idle);
      else found = idle;
    }
    connections.idle.push(...unsuited.reverse());
    return found;
  }

  function leaseOf(
    connections: EndpointPool,
    pooled: PooledConnection,
    callerId: string,
  ): ConnectionLease {
    const {id, connection, carried} = pooled;
    const earlierRequests = carried.count();
    carried.add(callerId);
    return {
      connection,
      connectionId: id,
      earlierRequests,
      release: keepAliveMs => {
        const idleLimitMs =
          keepAliveMs === undefined
            ? DEFAULT_KEEP_ALIVE_MS
            : Math.min(MAX_KEEP_ALIVE_MS, keepAliveMs - KEEP_ALIVE_MARGIN_MS);
        if (idleLimitMs <= 0 || carried.isFull()) return connection.destroy();
        pooled.expiresMs = performance.now() + idleLimitMs;
        connections.idle.push(pooled);
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
