import type {StreamState} from '../sessions/stream_state.js';

/** Sorts in place by priority, if enabled, and then by arrival. */
export function sortByPriority(
  streams: StreamState[],
  usePriorities: boolean,
): StreamState[] {
  return streams.sort((a, b) => {
    const priority = a.request.priority - b.request.priority;
    if (usePriorities && priority !== 0) return priority;
    return a.arrivalNumber - b.arrivalNumber;
  });
}
