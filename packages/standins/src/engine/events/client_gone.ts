/** A client closed its connection before its stream ended. */
export interface ClientGone {
  kind: 'client_gone';
  callId: string;
}
