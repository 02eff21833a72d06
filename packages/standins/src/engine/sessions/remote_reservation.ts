/** Memory reserved on another engine, as `wl-reservations` names it. */
export interface RemoteReservation {
  endpoint: string;
  url: string;
  sessionId: string;
  tokens: number;
}
