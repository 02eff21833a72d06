/** Closes the connection of a stream in its middle. */
export interface BreakStream {
  kind: 'break_stream';
  callId: string;
}
