import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {Disposable} from '../lifecycle/disposable.js';
import {createMemoryBudget} from '../memory/memory_budget.js';
import {
  processLimits,
  type ProcessLimitSettings,
} from '../memory/process_limits.js';
import type {Metrics} from '../metrics/create_metrics.js';
import type {BODIES_SECTION} from '../settings/limit_sections.js';
import type {SettingsOf} from '../settings/settings_definition.js';
import {createBodyReader, type BodyReader} from './body_reader.js';
import {boundConnections, type ConnectionBound} from './connection_bound.js';
import {lingerClose} from './linger_close.js';
import {lingerLimitsOf} from './linger_limits.js';

/** Interval in which the progress of bodies counts. */
const INTERVAL_MS = 1_000;
/** Connections may pause for 15 s. */
const RATE_WINDOW_MS = 16_000;

/** Settings of an intake. */
export type IntakeSettings = ProcessLimitSettings &
  SettingsOf<{bodies: typeof BODIES_SECTION}>;

/** What the requests of a server may take of its process. */
export interface RequestIntake extends Disposable {
  readonly bodies: BodyReader;
  /** Bounds the connections of a server that has none yet. */
  bound(server: Server): void;
  /** Closes a connection after the answer that refuses its request. */
  closeAfter(req: IncomingMessage, res: ServerResponse): void;
}

/** Creates the intake of one server. */
export function createRequestIntake(
  cfg: IntakeSettings,
  metrics: Metrics,
): RequestIntake {
  const {budgetBytes, heapBytes, callerConnections} = processLimits(cfg);
  const budget = createMemoryBudget(budgetBytes, heapBytes);
  let connections: ConnectionBound | undefined;
  const timer = setInterval(
    () => budget.nextInterval(performance.now()),
    INTERVAL_MS,
  );
  timer.unref();

  function count(what: string, reason: string): void {
    metrics.observe('given_up_total', {what, reason}, 1);
  }

  return {
    bodies: createBodyReader({
      budget,
      rate: () => ({
        minBytesPerS: cfg.bodies.min_rate,
        windowMs: RATE_WINDOW_MS,
      }),
      onDropped: reason => {
        if (reason !== 'aborted') count('bodies', reason);
      },
    }),
    bound: server => {
      connections = boundConnections(server, {
        maxConnections: callerConnections,
        evictBody: budget.evictCostliest,
        onClosed: () => count('connections', 'bound'),
      });
    },
    closeAfter: (req, res) => {
      lingerClose(req, res, lingerLimitsOf(cfg));
      connections?.closing(req.socket);
    },
    dispose: () => clearInterval(timer),
  };
}
