import type {RouterConfig} from '../router/router_config.js';
import type {RequestState} from './request_state.js';

/** Long prompts are silent while they are prefilled, which is no failure. */
const EXPECTED_TIMES_ALLOWED = 3;

/** Whether the endpoint of a request has been silent for too long. */
export function isStalled(
  cfg: RouterConfig,
  state: RequestState,
  nowMs: number,
): boolean {
  const silentMs = nowMs - state.lastProgressMs;
  if (state.phase === 'dispatched') {
    const graceMs = (state.choice?.costMs ?? 0) * EXPECTED_TIMES_ALLOWED;
    return silentMs >= cfg.firstTokenTimeoutMs + graceMs;
  }
  return state.phase === 'streaming' && silentMs >= cfg.idleTimeoutMs;
}
