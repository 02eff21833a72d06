/** Answer of an engine to a reservation of KV memory. */
export interface ReservationSettled {
  kind: 'reservation_settled';
  reqId: string;
  attempt: number;
  endpoint: string;
  granted: boolean;
  /** Session id on the engine if granted, else empty. */
  sessionId: string;
}
