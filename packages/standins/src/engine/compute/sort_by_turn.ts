import type {StreamState} from '../sessions/stream_state.js';

/** Orders streams by priority, if used, and then by arrival. */
export function sortByTurn(
  streams: StreamState[],
  usePriorities: boolean,
): StreamState[] {
  return streams.sort((a, b) => {
    const priority = a.request.priority - b.request.priority;
    if (usePriorities && priority !== 0) return priority;
    return a.arrival - b.arrival;
  });
}
