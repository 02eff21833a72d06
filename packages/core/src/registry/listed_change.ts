import type {EntryChange} from './entry_change.js';
import type {RegisteredEndpoint} from './registered_endpoint.js';

/** An endpoint that is not gone, as a change of an empty registry. */
export function listedChange(
  nowMs: number,
  {entry, state, offset, warmUntilMs}: RegisteredEndpoint,
): EntryChange {
  const unreadable = state === 'unreadable';
  const warmUpMs = Math.max(0, warmUntilMs - nowMs);
  const shown = unreadable ? undefined : {...entry, warmUpMs};
  // As of before its removal, which the receiver has yet to find.
  const shownOffset = state === 'missing' ? offset - 1 : offset;
  return {id: entry.id, offset: shownOffset, entry: shown, unreadable};
}
