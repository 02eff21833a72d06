/** Answers a call with JSON. */
export interface Answer {
  kind: 'answer';
  callId: string;
  status: number;
  body: Record<string, unknown>;
}
