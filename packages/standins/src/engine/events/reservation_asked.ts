/** A router reserves KV memory. */
export interface ReservationAsked {
  kind: 'reservation_asked';
  callId: string;
  reqId: string;
  owner: string;
  tokens: number;
  ttlMs: number;
}
