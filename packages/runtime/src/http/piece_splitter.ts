/** Largest part of a head, of chunks or of trailers that is parsed at once. */
export const MAX_PIECE_BYTES = 4_096;

/** Empty lines, behind which a head or a chunked body may end. */
const EMPTY_LINES = ['\n\r\n', '\n\n'].map(text => Buffer.from(text));
/** Bytes of an empty line that may stand in the piece before. */
const TAIL_BYTES = 2;

/** Splits the bytes of a connection so that no piece begins two requests. */
export interface PieceSplitter {
  /**
   * Returns the length of the next piece, which ends behind the first empty
   * line. `bytes` begin where the piece before ended.
   */
  next(bytes: Buffer): number;
  /** Bytes were passed on without being split. */
  skip(): void;
}

/** Creates the splitter of a new connection. */
export function createPieceSplitter(): PieceSplitter {
  let tail = '';

  function next(bytes: Buffer): number {
    const length = emptyLineEnd(bytes.subarray(0, MAX_PIECE_BYTES));
    const from = Math.max(0, length - TAIL_BYTES);
    tail = (tail + bytes.toString('latin1', from, length)).slice(-TAIL_BYTES);
    return length;
  }

  function emptyLineEnd(bytes: Buffer): number {
    const start = bytes.toString('latin1', 0, TAIL_BYTES);
    const lineEnded = tail.endsWith('\n');
    if (lineEnded && start === '\r\n') return start.length;
    if ((lineEnded || tail === '\n\r') && start.startsWith('\n')) return 1;
    const ends = EMPTY_LINES.map(line => {
      const at = bytes.indexOf(line);
      return at < 0 ? bytes.length : at + line.length;
    });
    return Math.min(...ends);
  }

  return {
    next,
    skip: () => {
      tail = '';
    },
  };
}
