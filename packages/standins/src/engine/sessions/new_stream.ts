import {answerLength} from '../../shared/expected_answer.js';
import type {EngineConfig} from '../engine_config.js';
import type {ChatArrived} from '../events/chat_arrived.js';
import type {StreamState} from './stream_state.js';

/** Interval at which the TTL of remote reservations is restarted. */
export const RENEW_INTERVAL_MS = 1_000;

/** Creates the initial state of a stream. */
export function newStream(
  cfg: EngineConfig,
  request: ChatArrived,
  arrivalNumber: number,
  nowMs: number,
): StreamState {
  const {promptTokens, maxTokens, resumeFrom, reservations} = request;
  const remoteTokens = reservations.reduce((sum, {tokens}) => sum + tokens, 0);
  const timeoutMs = request.timeoutMs > 0 ? request.timeoutMs : cfg.maxStreamMs;
  return {
    request,
    sessionId: `${cfg.incarnation}-s${arrivalNumber}`,
    arrivalNumber,
    phase: reservations.length > 0 ? 'confirming' : 'waiting',
    allocation: undefined,
    localTokens: Math.max(0, promptTokens + maxTokens - remoteTokens),
    prefillTokens: promptTokens + resumeFrom,
    prefilledTokens: 0,
    partCount: answerLength(request.promptHash, maxTokens),
    nextSequence: resumeFrom,
    partsSent: 0,
    arrivedMs: nowMs,
    expiresMs: nowMs + timeoutMs,
    nextRenewalMs: nowMs + RENEW_INTERVAL_MS,
  };
}
