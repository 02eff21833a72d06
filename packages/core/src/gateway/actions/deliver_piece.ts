/** Passes a piece of a stream on to the caller. */
export interface DeliverPiece {
  kind: 'deliver_piece';
  reqId: string;
  payload: Uint8Array;
}
