import assert from 'node:assert/strict';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';

/** Longest pause that a gateway grants in full, and what it grants otherwise. */
const MAX_PAUSE_MS = 3_600_000;
const PAUSE_FOR_LONGER_MS = 60_000;

/** Checks that endpoints get what they want by their own words. */
export interface HintChecker {
  eventFed(event: GatewayEvent, nowMs: number): void;
  actionTaken(action: GatewayAction, nowMs: number): void;
}

/** An engine and a service of the fixtures may have the same address. */
function endpointOf({streamed}: StartAttempt, address: string): string {
  return `${streamed ? 'engine' : 'service'} ${address}`;
}

/** Creates a checker of endpoints that keep their address for life. */
export function createHintChecker(): HintChecker {
  /** Newest attempt of each open request. */
  const running = new Map<string, StartAttempt>();
  const leaving = new Set<string>();
  const pausedUntilMs = new Map<string, number>();

  function hinted(
    endpoint: string,
    nowMs: number,
    hints: {leaving: boolean; pauseMs: number | undefined},
  ): void {
    if (hints.leaving) leaving.add(endpoint);
    const askedMs = hints.pauseMs ?? 0;
    const untilMs =
      nowMs + (askedMs > MAX_PAUSE_MS ? PAUSE_FOR_LONGER_MS : askedMs);
    const knownMs = pausedUntilMs.get(endpoint) ?? 0;
    pausedUntilMs.set(endpoint, Math.max(knownMs, untilMs));
  }

  function started(action: StartAttempt, nowMs: number): void {
    running.set(action.reqId, action);
    for (const {address} of [action, ...action.helpers]) {
      const endpoint = endpointOf(action, address);
      assert.ok(!leaving.has(endpoint), `${endpoint} is leaving`);
      const untilMs = pausedUntilMs.get(endpoint) ?? 0;
      assert.ok(untilMs <= nowMs, `${endpoint} wants a pause`);
    }
  }

  return {
    eventFed: (event, nowMs) => {
      if (event.kind !== 'hints_received') return;
      const attempt = running.get(event.reqId);
      if (attempt?.attempt !== event.attempt) return;
      hinted(endpointOf(attempt, attempt.address), nowMs, event.hints);
    },
    actionTaken: (action, nowMs) => {
      if (action.kind === 'start_attempt') started(action, nowMs);
      // What a request's endpoint says after its end is not heard.
      if (action.kind === 'cancel_attempt') running.delete(action.reqId);
    },
  };
}
