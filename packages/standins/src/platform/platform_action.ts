/** Answers a call with JSON. */
export interface Answer {
  kind: 'answer';
  callId: string;
  status: number;
  body: Record<string, unknown>;
}

/** Closes a connection without an answer. */
export interface Close {
  kind: 'close';
  callId: string;
}

/** Everything that the platform can do. */
export type PlatformAction = Answer | Close;
