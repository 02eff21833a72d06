/** One complete server-sent event of a stream. */
export interface Piece {
  /** Id of the event; 0 if it has none. */
  id: number;
  /** Bytes of the event with its closing blank line. */
  payload: Buffer;
}
