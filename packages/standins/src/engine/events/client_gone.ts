/** The client closed its connection. */
export interface ClientGone {
  kind: 'client_gone';
  callId: string;
}
