/** Closes the connection of a stream without an end marker. */
export interface BreakStream {
  kind: 'break_stream';
  callId: string;
}
