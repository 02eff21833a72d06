import {NO_HINTS} from '../endpoint_hints/endpoint_hints.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {OrderMemory} from '../gateway/actions/order_memory.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {MemoryAnswer} from '../tickets/memory_answer.js';
import type {RandomSource} from '../types/random_source.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

/** Number of pieces of a complete stream. */
const MAX_PIECES = 12;

/** Endpoints that answer at random, some of them wrongly or never. */
export interface ModelEndpoints {
  /** Carries out an action of a gateway; answers come later. */
  take(nowMs: number, action: GatewayAction): void;
  /** Events that are due, oldest first. */
  due(nowMs: number): GatewayEvent[];
}

/** Creates endpoints that have no work. */
export function createModelEndpoints(random: RandomSource): ModelEndpoints {
  let pending: {atMs: number; event: GatewayEvent}[] = [];
  /** Endpoints that by now refuse connections for orders. */
  const refusing = new Set<string>();

  function randomBetween(minMs: number, maxMs: number): number {
    return minMs + random() * (maxMs - minMs);
  }

  function fail(
    atMs: number,
    {reqId, attempt}: StartAttempt,
    failure: AttemptFailure,
    atFault = '',
  ): void {
    const event = {
      kind: 'attempt_failed',
      reqId,
      attempt,
      failure,
      detail: '',
      atFault,
      evidence: NO_EVIDENCE,
    } as const;
    pending.push({atMs, event});
  }

  function attempt(nowMs: number, action: StartAttempt): void {
    const chance = random();
    if (chance < 0.08) {
      return fail(nowMs + randomBetween(1, 30), action, 'connect_failed');
    }
    if (random() < 0.06) hint(nowMs + 1, action);
    if (chance < 0.18) {
      const [helper] = action.helpers;
      const atFault = random() < 0.5 ? (helper?.address ?? '') : '';
      const atMs = nowMs + randomBetween(2, 40);
      return fail(atMs, action, 'said_not_run', atFault);
    }
    if (chance < 0.24) {
      return fail(nowMs + randomBetween(5, 900), action, 'broken');
    }
    if (chance < 0.3) return;
    if (action.streamed) stream(nowMs, action);
    else answer(nowMs, action);
  }

  /** Says that the endpoint leaves, or wants a pause of any length. */
  function hint(atMs: number, {reqId, attempt}: StartAttempt): void {
    const leaving = random() < 0.2;
    const pauseMs = leaving ? undefined : random() * 4_000;
    const event = {reqId, attempt, hints: {...NO_HINTS, leaving, pauseMs}};
    pending.push({atMs, event: {kind: 'hints_received', ...event}});
  }

  function answer(nowMs: number, {reqId, attempt}: StartAttempt): void {
    const status = random() < 0.15 ? 500 : 200;
    const event = {kind: 'answer_received', reqId, attempt, status} as const;
    pending.push({atMs: nowMs + randomBetween(5, 400), event});
  }

  function stream(nowMs: number, action: StartAttempt): void {
    const {reqId, attempt, resumeAfter} = action;
    let atMs = nowMs + randomBetween(20, 1_500);
    const breaksAt = random() < 0.15 ? Math.ceil(random() * MAX_PIECES) : 0;
    const skipped = random() < 0.05 ? Math.ceil(random() * MAX_PIECES) : 0;
    // Some engines repeat pieces that the caller already has.
    const first = random() < 0.2 ? 1 : resumeAfter + 1;
    for (let piece = first; piece <= MAX_PIECES; piece++) {
      if (piece === breaksAt) return fail(atMs, action, 'disconnected');
      atMs += randomBetween(5, random() < 0.05 ? 2_500 : 150);
      if (piece === skipped) continue;
      const payload = new Uint8Array([piece]);
      const event = {reqId, attempt, piece, payload};
      pending.push({atMs, event: {kind: 'piece_received', ...event}});
    }
    pending.push({
      atMs,
      event: {kind: 'stream_ended', reqId, attempt, delimited: true},
    });
  }

  function memory(nowMs: number, {ticket, endpoint}: OrderMemory): void {
    const chance = random();
    if (chance < 0.06) return;
    if (chance > 0.92) refusing.add(endpoint);
    const answer: MemoryAnswer = refusing.has(endpoint)
      ? 'unknown'
      : chance < 0.12
        ? 'refused'
        : 'done';
    // A refused connection is detected at once.
    const atMs = nowMs + (answer === 'unknown' ? 0 : randomBetween(1, 60));
    const order = {ticket, endpoint, answer, hints: NO_HINTS};
    const event = {kind: 'memory_settled', ...order} as const;
    pending.push({atMs, event});
  }

  function cancelled(reqId: string, attempt: number): void {
    // Events that are already in flight still arrive.
    if (random() < 0.2) return;
    pending = pending.filter(
      ({event}) =>
        !('attempt' in event) ||
        event.reqId !== reqId ||
        event.attempt !== attempt,
    );
  }

  return {
    take: (nowMs, action) => {
      if (action.kind === 'start_attempt') attempt(nowMs, action);
      if (action.kind === 'cancel_attempt') {
        cancelled(action.reqId, action.attempt);
      }
      if (action.kind === 'order_memory') memory(nowMs, action);
    },
    due: nowMs => {
      const ready = pending.filter(({atMs}) => atMs <= nowMs);
      pending = pending.filter(({atMs}) => atMs > nowMs);
      return ready.sort((a, b) => a.atMs - b.atMs).map(({event}) => event);
    },
  };
}
