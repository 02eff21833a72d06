import type {Piece} from './piece.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bounds the memory of an unfinished event; healthy endpoints send less. */
const MAX_EVENT_BYTES = 1_048_576;

/** Splits a byte stream into server-sent events without changing a byte. */
export interface PieceFramer {
  /** Returns the events that the bytes complete; throws on an overlong one. */
  feed(bytes: Buffer): Piece[];
  /** Number of bytes of the incomplete event at the end. */
  pendingBytes(): number;
}

/** Creates a framer at the start of a stream. */
export function createPieceFramer(): PieceFramer {
  let pending: Buffer = Buffer.alloc(0);

  function feed(bytes: Buffer): Piece[] {
    let rest = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
    const pieces: Piece[] = [];
    for (let end = endOfEvent(rest); end >= 0; end = endOfEvent(rest)) {
      const payload = rest.subarray(0, end);
      rest = rest.subarray(end);
      pieces.push({id: eventId(payload), payload});
    }
    if (rest.length > MAX_EVENT_BYTES) throw new Error('event too long');
    pending = rest;
    return pieces;
  }

  return {feed, pendingBytes: () => pending.length};
}

/** Index behind the first blank line; -1 if there is none. */
function endOfEvent(bytes: Buffer): number {
  let from = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_FEED, from);
    if (lineEnd < 0) return -1;
    const next =
      bytes[lineEnd + 1] === CARRIAGE_RETURN ? lineEnd + 2 : lineEnd + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    from = lineEnd + 1;
  }
}

function eventId(event: Buffer): number {
  const match = /(?:^|\n)id:[ ]?(\d+)\r?\n/.exec(event.toString('latin1'));
  return match ? Number(match[1]) : 0;
}
