/** Sends a JSON response to an HTTP call. */
export interface Answer {
  kind: 'answer';
  callId: string;
  status: number;
  body: Record<string, unknown>;
}
