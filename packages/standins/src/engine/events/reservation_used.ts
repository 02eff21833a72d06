/** The main engine of a prompt uses a reservation on this engine. */
export interface ReservationUsed {
  kind: 'reservation_used';
  callId: string;
  sessionId: string;
}
