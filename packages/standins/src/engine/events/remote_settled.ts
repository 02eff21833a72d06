/** Result of `use_remote`. */
export interface RemoteSettled {
  kind: 'remote_settled';
  /** Call of the stream that uses the reservations. */
  callId: string;
  /** False if any of the reservations is gone. */
  ok: boolean;
}
