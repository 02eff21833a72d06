/** A complete event of a stream arrived from an endpoint. */
export interface PieceReceived {
  kind: 'piece_received';
  reqId: string;
  attempt: number;
  /** Pieces of a stream are numbered from 1 without gaps. */
  piece: number;
  /** Bytes as the endpoint sent them. */
  payload: Uint8Array;
}
