import type {RequestState} from '../requests/request_state.js';
import type {EngineSession} from '../types/engine_session.js';

/**
 * Whether the owner of a session still uses it, given the request that the
 * session names. Reservations and exports may be on other endpoints than the
 * request's current attempt.
 */
export function isSessionInUse(
  request: RequestState | undefined,
  endpoint: string,
  session: EngineSession,
): boolean {
  if (!request) return false;
  return session.kind !== 'stream' || request.endpoint === endpoint;
}
