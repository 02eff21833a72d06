import type {RouterConfig} from '../router/router_config.js';
import type {RequestState} from './request_state.js';

/**
 * Multiple of the expected time that extends the first-token timeout, since an
 * endpoint sends nothing while it prefills a long prompt.
 */
const PREFILL_TIME_FACTOR = 3;

/** Whether the endpoint of a request has made no progress for too long. */
export function isStalled(
  cfg: RouterConfig,
  state: RequestState,
  nowMs: number,
): boolean {
  const silentMs = nowMs - state.lastProgressMs;
  if (state.phase === 'dispatched') {
    const graceMs = (state.choice?.costMs ?? 0) * PREFILL_TIME_FACTOR;
    return silentMs >= cfg.firstTokenTimeoutMs + graceMs;
  }
  return state.phase === 'streaming' && silentMs >= cfg.idleTimeoutMs;
}
