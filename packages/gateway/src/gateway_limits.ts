import {performance} from 'node:perf_hooks';
import type {BodyError} from '@wisterialadder/runtime/http/body_error.js';
import {lingerLimitsOf} from '@wisterialadder/runtime/http/linger_limits.js';
import type {Disposable} from '@wisterialadder/runtime/lifecycle/disposable.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';
import {
  createMemoryBudget,
  type MemoryBudget,
} from '@wisterialadder/runtime/memory/memory_budget.js';
import {processLimits} from '@wisterialadder/runtime/memory/process_limits.js';
import type {Metrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import type {SettingsOf} from '@wisterialadder/runtime/settings/settings_definition.js';
import type {AnswerLimits} from './callers/answer_limits.js';
import type {ConnectionEnd} from './callers/connection_end.js';
import type {IntakeLimits} from './callers/intake_limits.js';
import type {GATEWAY_SETTINGS} from './settings.js';

const BYTES_PER_KB = 1_024;
const MS_PER_SECOND = 1_000;
/** Interval in which progress counts, and of reports. */
const INTERVAL_MS = 1_000;

type Settings = SettingsOf<typeof GATEWAY_SETTINGS>;

/** What callers and endpoints may take of the process. */
export interface GatewayLimits extends Disposable {
  budget: MemoryBudget;
  maxConnections(): number;
  intake(): IntakeLimits;
  answers(): AnswerLimits;
  /** Interim answers that an endpoint may send before its answer. */
  maxInterim(): number;
  bodyDropped(reason: BodyError): void;
  answerDropped(): void;
  connectionClosed(reason: ConnectionEnd): void;
  apply(cfg: Settings): void;
}

/** Dependencies of the limits. */
export interface GatewayLimitsParts {
  cfg: Settings;
  metrics: Metrics;
  logger: Logger;
  /** Number of open connections of callers. */
  connections(): number;
}

/** Creates the limits that the settings state. */
export function createGatewayLimits(parts: GatewayLimitsParts): GatewayLimits {
  const {metrics, logger} = parts;
  let {cfg} = parts;
  const {budgetBytes, heapBytes} = processLimits(cfg);
  const budget = createMemoryBudget(budgetBytes, heapBytes);
  const dropped = {bodies: 0, answers: 0, connections: 0};
  const timer = setInterval(interval, INTERVAL_MS);
  timer.unref();

  function interval(): void {
    budget.nextInterval(performance.now());
    metrics.observe('held_bytes', {}, budget.heldBytes());
    metrics.observe('caller_connections', {}, parts.connections());
    const {bodies, answers, connections} = dropped;
    if (bodies + answers + connections === 0) return;
    const heldBytes = budget.heldBytes();
    const fields = {bodies, answers, connections, heldBytes};
    logger.write('WL8600', {...fields, maxBytes: budget.maxBytes()});
    Object.assign(dropped, {bodies: 0, answers: 0, connections: 0});
  }

  function count(what: keyof typeof dropped, reason: string): void {
    dropped[what] += 1;
    metrics.observe('given_up_total', {what, reason}, 1);
  }

  return {
    budget,
    maxConnections: () => processLimits(cfg).callerConnections,
    intake: () => ({
      minBytesPerS: cfg.bodies.min_rate,
      linger: lingerLimitsOf(cfg),
    }),
    answers: () => ({
      maxUnreadBytes: cfg.answers.unread * BYTES_PER_KB,
      stallMs: cfg.answers.stall * MS_PER_SECOND,
    }),
    maxInterim: () => cfg.answers.interim,
    bodyDropped: reason => {
      if (reason !== 'aborted') count('bodies', reason);
    },
    answerDropped: () => count('answers', 'unread'),
    connectionClosed: reason => count('connections', reason),
    apply: next => {
      cfg = next;
      const changed = processLimits(cfg);
      budget.setMaxBytes(changed.budgetBytes, changed.heapBytes);
    },
    dispose: () => clearInterval(timer),
  };
}
