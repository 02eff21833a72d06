import type {EndpointEntry} from './endpoint_entry.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';

/** Ends of a warm-up that differ less come from the same one. */
const WARM_UP_TOLERANCE_MS = 500;

/**
 * Applies a later entry of the same start of an endpoint.
 * @returns whether its use changed
 */
export function updateRegistration(
  nowMs: number,
  known: RegisteredEndpoint,
  entry: EndpointEntry,
): boolean {
  if (entry.sequence < known.entry.sequence) return false;
  const repeated = entry.sequence === known.entry.sequence;
  if (known.state === 'gone' && repeated) return false;
  const before = known.state;
  // Also if it was removed since: it is the same start of the endpoint.
  const wasLeaving = known.entry.state === 'leaving';
  const leaving = wasLeaving || entry.state === 'leaving';
  const moved = known.entry.address !== entry.address;
  known.entry = leaving ? {...entry, state: 'leaving'} : entry;
  known.state = known.entry.state;
  const warmUpMoved = moveWarmUp(nowMs, known, entry.warmUpMs);
  if (before !== known.state) known.sinceMs = nowMs;
  return before !== known.state || moved || warmUpMoved;
}

/** Returns whether the warm-up now ends at another time. */
function moveWarmUp(
  nowMs: number,
  known: RegisteredEndpoint,
  warmUpMs: number,
): boolean {
  const remainingMs = Math.max(0, known.warmUntilMs - nowMs);
  known.warmUntilMs = nowMs + warmUpMs;
  return Math.abs(warmUpMs - remainingMs) > WARM_UP_TOLERANCE_MS;
}
