import {createRouterNode} from '../../router/router_node.js';
import type {RouterAction} from '../../router/actions/router_action.js';
import type {StartAttempt} from '../../router/actions/start_attempt.js';
import type {RouterConfig} from '../../router/router_config.js';
import type {RouterEvent} from '../../router/events/router_event.js';
import type {RandomSource} from '../../types/random_source.js';
import type {LoadRecord} from './load_record.js';
import type {VirtualClock} from './virtual_clock.js';
import type {VirtualEngine} from './virtual_engine.js';

/** One-way latency between router and engine. */
const SAME_DOMAIN_MS = 1;
const OTHER_DOMAIN_MS = 4;

/** An engine and its failure domain. */
export interface PlacedEngine {
  engine: VirtualEngine;
  failureDomain: string;
}

/** Router whose actions reach virtual engines after a delay. */
export interface VirtualRouter {
  step(event: RouterEvent): void;
  arrive(record: LoadRecord): void;
}

/** Creates a router of the fleet. */
export function createVirtualRouter(
  clock: VirtualClock,
  cfg: RouterConfig,
  engines: Map<string, PlacedEngine>,
  random: RandomSource,
): VirtualRouter {
  const node = createRouterNode(cfg);
  const records = new Map<string, LoadRecord>();
  const attempts = new Map<string, string>();

  function step(event: RouterEvent): void {
    const nowMs = clock.nowMs();
    const actions = node.step({event, nowMs, wallMs: nowMs, random});
    for (const action of actions) perform(action);
  }

  function perform(action: RouterAction): void {
    switch (action.kind) {
      case 'start_attempt':
        return start(action);
      case 'cancel_attempt': {
        const id = jobId(action.reqId, action.attempt);
        const name = attempts.get(id) ?? '';
        return send(name, engine => engine.cancel(id));
      }
      case 'reserve':
        return send(action.endpoint, engine => {
          const {kind: _, reqId, attempt, endpoint, tokens} = action;
          const sessionId = engine.reserve(tokens) ?? '';
          const granted = sessionId !== '';
          answer(endpoint, {
            kind: 'reservation_settled',
            reqId,
            attempt,
            endpoint,
            granted,
            sessionId,
          });
        });
      case 'release_session':
        return send(action.endpoint, e => e.release(action.sessionId));
      case 'read_cache':
        return send(action.endpoint, engine =>
          answer(action.endpoint, engine.cacheListing()),
        );
      case 'finish': {
        const record = records.get(action.reqId);
        if (!record) return;
        record.outcome = action.outcome;
        record.totalMs = clock.nowMs() - record.arrivedMs;
        records.delete(action.reqId);
      }
    }
  }

  function start(action: StartAttempt): void {
    const {reqId, attempt, endpoint, priority} = action;
    const record = records.get(reqId);
    if (!record) return;
    const id = jobId(reqId, attempt);
    attempts.set(id, endpoint);
    const {promptTokens, prefixHashes} = record.event;
    const job = {
      id,
      promptTokens,
      outputTokens: record.outputTokens,
      priority,
      prefixHashes,
      reserved: action.reservations.length > 0,
      firstToken: () => {
        record.firstTokenMs ??= clock.nowMs() - record.arrivedMs;
        answer(endpoint, {
          kind: 'attempt_delta',
          reqId,
          attempt,
          sequence: 0,
          payload: '',
        });
      },
      ended: () => {
        attempts.delete(id);
        answer(endpoint, {kind: 'attempt_ended', reqId, attempt, sequence: 1});
      },
    };
    send(endpoint, engine => engine.start(job));
  }

  function send(name: string, call: (engine: VirtualEngine) => void): void {
    const placed = engines.get(name);
    if (placed) clock.after(latencyMs(name), () => call(placed.engine));
  }

  function answer(name: string, event: RouterEvent): void {
    clock.after(latencyMs(name), () => step(event));
  }

  function latencyMs(name: string): number {
    const domain = engines.get(name)?.failureDomain;
    return domain === cfg.failureDomain ? SAME_DOMAIN_MS : OTHER_DOMAIN_MS;
  }

  return {
    step,
    arrive: record => {
      records.set(record.event.reqId, record);
      step(record.event);
    },
  };
}

function jobId(reqId: string, attempt: number): string {
  return `${reqId}|${attempt}`;
}
