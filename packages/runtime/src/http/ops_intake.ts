import {createMemoryBudget} from '../memory/memory_budget.js';
import {feedConnections} from './connection_feeds.js';
import {boundConnections} from './connection_bound.js';
import type {ServerIntake} from './server_intake.js';

/** Probes and collectors of metrics keep a connection each, if any. */
const MAX_CONNECTIONS = 64;
/** For what 64 connections send beyond a usual head. */
const BUDGET_BYTES = 2_097_152;
/** A connection is closed if nothing moves on it for this long. */
const SILENCE_MS = 30_000;

/** Creates the intake of a server for operators and probes. */
export function createOpsIntake(): ServerIntake {
  return {
    bound: server => {
      const budget = createMemoryBudget(BUDGET_BYTES);
      server.timeout = SILENCE_MS;
      boundConnections(server, {
        maxConnections: MAX_CONNECTIONS,
        evictBody: budget.evictCostliest,
        onClosed: () => undefined,
      });
      feedConnections(server, budget, () => undefined);
    },
  };
}
