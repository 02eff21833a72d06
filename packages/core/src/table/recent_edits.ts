import type {LogRecord} from '../types/log_record.js';

/** Edits kept for peers that are slightly behind; others get a snapshot. */
const MAX_EDITS = 256;
/** Bounds the text, so that a message stays smaller than a snapshot. */
const MAX_CHARACTERS = 200_000;

/** The newest edits of the table stream, for relay to peers. */
export interface RecentEdits {
  /** Appends an edit that was applied after those in the list. */
  add(record: LogRecord): void;
  /** Clears the list, which then starts at offset `next`. */
  reset(next: number): void;
  /** Edits from an offset on; undefined if some of them were dropped. */
  since(offset: number): LogRecord[] | undefined;
}

/** Creates an empty list that starts at the first offset. */
export function createRecentEdits(): RecentEdits {
  let from = 0;
  let characters = 0;
  let edits: LogRecord[] = [];

  function add(record: LogRecord): void {
    edits.push(record);
    characters += record.data.length;
    while (edits.length > MAX_EDITS || characters > MAX_CHARACTERS) {
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
