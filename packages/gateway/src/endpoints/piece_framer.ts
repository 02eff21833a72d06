import {createByteBuffer} from './byte_buffer.js';
import type {Piece} from './piece.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Length of the line end before and the blank line at the end of an event. */
const MAX_LINE_END_BYTES = 3;
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
  const pending = createByteBuffer();

  function feed(bytes: Buffer): Piece[] {
    if (pending.length() === 0) return split(bytes, 0);
    // Bytes that were searched before are not searched again.
    const from = Math.max(0, pending.length() - MAX_LINE_END_BYTES);
    pending.append(bytes);
    if (endOfEvent(pending.view(), from) >= 0)
      return split(pending.take(), from);
    checkLength();
    return [];
  }

  /** Returns the complete events and keeps the rest. */
  function split(bytes: Buffer, searchFrom: number): Piece[] {
    let rest = bytes;
    const pieces: Piece[] = [];
    for (
      let end = endOfEvent(rest, searchFrom);
      end >= 0;
      end = endOfEvent(rest, 0)
    ) {
      const payload = rest.subarray(0, end);
      rest = rest.subarray(end);
      pieces.push({id: eventId(payload), payload});
    }
    pending.append(rest);
    checkLength();
    return pieces;
  }

  function checkLength(): void {
    if (pending.length() > MAX_EVENT_BYTES) throw new Error('event too long');
  }

  return {feed, pendingBytes: pending.length};
}

/** Index behind the first blank line that ends after `from`; else -1. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (
    let lineEnd = bytes.indexOf(LINE_FEED, from);
    lineEnd >= 0;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1)
  ) {
    const next =
      bytes[lineEnd + 1] === CARRIAGE_RETURN ? lineEnd + 2 : lineEnd + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
}

function eventId(event: Buffer): number {
  const match = /(?:^|\n)id:[ ]?(\d+)\r?\n/.exec(event.toString('latin1'));
  return match ? Number(match[1]) : 0;
}
