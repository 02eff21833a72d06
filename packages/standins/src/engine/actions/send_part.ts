/** Sends one part of a streamed answer. */
export interface SendPart {
  kind: 'send_part';
  callId: string;
  sequence: number;
  text: string;
  last: boolean;
}
