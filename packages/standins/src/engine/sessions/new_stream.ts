import {answerLength} from '../../shared/expected_answer.js';
import type {EngineConfig} from '../engine_config.js';
import type {ChatArrived} from '../events/chat_arrived.js';
import type {StreamState} from './stream_state.js';

/** Interval at which reservations on other engines are extended. */
export const RENEW_INTERVAL_MS = 1_000;

/** State of a request that has just been accepted. */
export function newStream(
  cfg: EngineConfig,
  request: ChatArrived,
  arrival: number,
  nowMs: number,
): StreamState {
  const {promptTokens, maxTokens, resumeFrom, reservations} = request;
  const remoteTokens = reservations.reduce((sum, {tokens}) => sum + tokens, 0);
  const timeoutMs = request.timeoutMs > 0 ? request.timeoutMs : cfg.maxStreamMs;
  return {
    request,
    sessionId: `${cfg.incarnation}-s${arrival}`,
    arrival,
    phase: reservations.length > 0 ? 'attaching' : 'waiting',
    holding: undefined,
    localTokens: Math.max(0, promptTokens + maxTokens - remoteTokens),
    prefillTokens: promptTokens + resumeFrom,
    position: 0,
    length: answerLength(request.promptHash, maxTokens),
    nextSequence: resumeFrom,
    partsSent: 0,
    arrivedMs: nowMs,
    expiresMs: nowMs + timeoutMs,
    renewMs: nowMs + RENEW_INTERVAL_MS,
  };
}
