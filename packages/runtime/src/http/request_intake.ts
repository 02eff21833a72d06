import type {IncomingMessage, ServerResponse} from 'node:http';
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
import {feedConnections, type ConnectionFeeds} from './connection_feeds.js';
import {boundConnections, type ConnectionBound} from './connection_bound.js';
import {lingerClose} from './linger_close.js';
import {lingerLimitsOf} from './linger_limits.js';
import type {ServerIntake} from './server_intake.js';

/** Interval in which the progress of bodies counts. */
const INTERVAL_MS = 1_000;
/** Connections may pause for 15 s. */
const RATE_WINDOW_MS = 16_000;

/** Settings of an intake. */
export type IntakeSettings = ProcessLimitSettings &
  SettingsOf<{bodies: typeof BODIES_SECTION}>;

/** What the requests of a server may take of its process. */
export interface RequestIntake extends ServerIntake, Disposable {
  readonly bodies: BodyReader;
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
  let feeds: ConnectionFeeds | undefined;
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
      onReceived: (req, bytes) => feeds?.bodyReceived(req, bytes),
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
      feeds = feedConnections(server, budget, () =>
        count('connections', 'memory_short'),
      );
    },
    closeAfter: (req, res) => {
      lingerClose(req, res, lingerLimitsOf(cfg));
      connections?.closing(req.socket);
    },
    dispose: () => clearInterval(timer),
  };
}
