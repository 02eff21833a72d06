/** An endpoint ended its stream with an end marker. */
export interface StreamEnded {
  kind: 'stream_ended';
  reqId: string;
  attempt: number;
  /**
   * Whether its end was marked, so that it is known to be whole; else it ended
   * with its connection.
   */
  delimited: boolean;
}
