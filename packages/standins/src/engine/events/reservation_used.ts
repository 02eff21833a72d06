/** The primary engine of a prompt uses a reservation here. */
export interface ReservationUsed {
  kind: 'reservation_used';
  callId: string;
  sessionId: string;
}
