/** Fields of all requests of a run. */
interface PlannedCommon {
  id: string;
  phase: 'baseline' | 'load';
  className: string;
  customer: string;
  /** Bearer key. */
  key: string;
  timeoutMs: number;
  /** UUIDv7; empty for idempotent classes. */
  idempotencyKey: string;
  /** Whether the request repeats an idempotency key. */
  repeated: boolean;
}

/** A chat-completion request. */
export interface PlannedChat extends PlannedCommon {
  kind: 'chat';
  model: string;
  prompt: string;
  promptTokens: number;
  maxTokens: number;
}

/** A call of a plain service. */
export interface PlannedCall extends PlannedCommon {
  kind: 'service';
  service: string;
  action: string;
  body: string;
}

/** A request to send. */
export type PlannedRequest = PlannedChat | PlannedCall;
