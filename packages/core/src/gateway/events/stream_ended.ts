/** An endpoint ended its stream with an end marker. */
export interface StreamEnded {
  kind: 'stream_ended';
  reqId: string;
  attempt: number;
}
