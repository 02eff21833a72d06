/** Answer of the other engines to the use of reservations. */
export interface RemoteSettled {
  kind: 'remote_settled';
  /** Call of the stream that uses them. */
  callId: string;
  ok: boolean;
}
