/** KV memory reserved on another engine; item of `wl-reservations`. */
export interface RemoteReservation {
  endpoint: string;
  url: string;
  sessionId: string;
  tokens: number;
}
