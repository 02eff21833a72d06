/** Sends one part of an answer. */
export interface SendPart {
  kind: 'send_part';
  callId: string;
  sequence: number;
  text: string;
  last: boolean;
}
