import {performance} from 'node:perf_hooks';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import {
  createEngineConnection,
  type EngineConnection,
} from './engine_connection.js';

/** Idle connections are closed by this process before the endpoint does. */
const KEEP_MARGIN_MS = 2_000;
/** Time that a connection is kept where the endpoint names none. */
const DEFAULT_KEEP_MS = 4_000;
/** A longer pause makes it likely that the connection has silently died. */
const LONGEST_KEEP_MS = 8_000;
const SWEEP_INTERVAL_MS = 1_000;

/** A connection that carries a request. */
export interface ConnectionLease {
  connection: EngineConnection;
  /** Whether it has carried a request before. */
  reused: boolean;
  /** Gives it back after a whole answer; it may be used again. */
  release(keepAliveMs: number | undefined): void;
  /** Closes it; nothing more may be read from it. */
  discard(): void;
}

/** Connections to endpoints. */
export interface ConnectionPool extends Disposable {
  /**
   * Takes a connection to an endpoint.
   * @returns undefined if the endpoint has as many as it may
   */
  acquire(
    endpoint: string,
    address: string,
    maxConnections: number,
    fresh: boolean,
  ): ConnectionLease | undefined;
  /** Closes idle connections to all other endpoints. */
  closeIdleExcept(endpoints: string[]): void;
}

interface IdleConnection {
  connection: EngineConnection;
  untilMs: number;
}

interface EndpointConnections {
  open: number;
  idle: IdleConnection[];
}

/** Creates a pool without connections. */
export function createConnectionPool(): ConnectionPool {
  const endpoints = new Map<string, EndpointConnections>();
  const sweeper = setInterval(sweep, SWEEP_INTERVAL_MS);
  sweeper.unref();

  function of(endpoint: string): EndpointConnections {
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
    fresh: boolean,
  ): ConnectionLease | undefined {
    const connections = of(endpoint);
    const idle = fresh ? undefined : takeIdle(connections, address);
    if (idle) return leaseOf(connections, idle, true);
    if (connections.open >= maxConnections) {
      const spare = connections.idle.shift();
      if (!spare) return undefined;
      spare.connection.destroy();
    }
    return leaseOf(connections, open(connections, address), false);
  }

  function open(
    connections: EndpointConnections,
    address: string,
  ): EngineConnection {
    connections.open += 1;
    const connection = createEngineConnection(address, () => {
      connections.open -= 1;
      connections.idle = connections.idle.filter(
        idle => idle.connection !== connection,
      );
    });
    return connection;
  }

  function takeIdle(
    connections: EndpointConnections,
    address: string,
  ): EngineConnection | undefined {
    const nowMs = performance.now();
    for (;;) {
      const idle = connections.idle.pop();
      if (!idle) return undefined;
      const {connection, untilMs} = idle;
      const fits = untilMs > nowMs && connection.address === address;
      if (fits && connection.usable()) return connection;
      connection.destroy();
    }
  }

  function leaseOf(
    connections: EndpointConnections,
    connection: EngineConnection,
    reused: boolean,
  ): ConnectionLease {
    return {
      connection,
      reused,
      release: keepAliveMs => {
        const keepMs =
          keepAliveMs === undefined
            ? DEFAULT_KEEP_MS
            : Math.min(LONGEST_KEEP_MS, keepAliveMs - KEEP_MARGIN_MS);
        if (keepMs <= 0) return connection.destroy();
        const untilMs = performance.now() + keepMs;
        connections.idle.push({connection, untilMs});
      },
      discard: () => connection.destroy(),
    };
  }

  function sweep(): void {
    const nowMs = performance.now();
    for (const [endpoint, connections] of endpoints) {
      for (const {connection, untilMs} of [...connections.idle]) {
        if (untilMs <= nowMs) connection.destroy();
      }
      if (connections.open === 0) endpoints.delete(endpoint);
    }
  }

  function closeIdle(connections: EndpointConnections): void {
    for (const {connection} of [...connections.idle]) connection.destroy();
  }

  return {
    acquire,
    closeIdleExcept: kept => {
      const names = new Set(kept);
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
