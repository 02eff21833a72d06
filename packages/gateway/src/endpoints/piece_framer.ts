import type {Piece} from './piece.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event that a sound endpoint sends. */
const MAX_EVENT_BYTES = 1_048_576;

/** Cuts a byte stream into server-sent events without changing a byte. */
export interface PieceFramer {
  /** Events that the bytes complete; throws on an overlong event. */
  feed(bytes: Buffer): Piece[];
  /** Bytes of an event that is not complete yet. */
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

/** Index after the first blank line; -1 if there is none. */
function endOfEvent(bytes: Buffer): number {
  let from = 0;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, from);
    if (feed < 0) return -1;
    const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    from = feed + 1;
  }
}

function eventId(event: Buffer): number {
  const match = /(?:^|\n)id:[ ]?(\d+)\r?\n/.exec(event.toString('latin1'));
  return match ? Number(match[1]) : 0;
}
