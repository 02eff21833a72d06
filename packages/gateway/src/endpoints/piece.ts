/** One whole event of a stream. */
export interface Piece {
  /** Its id; 0 if it has none. */
  id: number;
  /** Bytes of the event with its closing blank line. */
  payload: Buffer;
}
