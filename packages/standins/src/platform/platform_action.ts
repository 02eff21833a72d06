/** Sends a JSON response to an HTTP call. */
export interface Answer {
  kind: 'answer';
  callId: string;
  status: number;
  body: Record<string, unknown>;
}

/** Closes the connection of a call without a response. */
export interface Close {
  kind: 'close';
  callId: string;
}

/** Side effects that the platform node requests from its process. */
export type PlatformAction = Answer | Close;
