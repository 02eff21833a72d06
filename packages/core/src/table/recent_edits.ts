import type {LogRecord} from '../types/log_record.js';

/** Edits kept for peers that are slightly behind; others get the state. */
const EDITS_KEPT = 256;
/** Text kept at most, so that a message stays smaller than the state. */
const MAX_CHARACTERS = 200_000;

/** The newest edits of the table stream, for relay to peers. */
export interface RecentEdits {
  /** Adds an edit that was applied after those already held. */
  add(record: LogRecord): void;
  /** Forgets all edits; those at `next` and above follow. */
  reset(next: number): void;
  /** Edits at an offset and above; undefined if older ones are needed. */
  since(offset: number): LogRecord[] | undefined;
}

/** Creates an empty list that starts with the stream. */
export function createRecentEdits(): RecentEdits {
  let from = 0;
  let characters = 0;
  let edits: LogRecord[] = [];

  function add(record: LogRecord): void {
    edits.push(record);
    characters += record.data.length;
    while (edits.length > EDITS_KEPT || characters > MAX_CHARACTERS) {
      const oldest = edits.shift();
      if (!oldest) return;
      characters -= oldest.data.length;
      from = oldest.offset + 1;
    }
  }

  function reset(next: number): void {
    from = next;
    characters = 0;
    edits = [];
  }

  return {
    add,
    reset,
    since: offset =>
      offset < from ? undefined : edits.filter(edit => edit.offset >= offset),
  };
}
