import type {Refusal} from '../../forwarding/refusal.js';

/** Answers a request with an error of this process itself. */
export interface Refuse {
  kind: 'refuse';
  reqId: string;
  refusal: Refusal;
  /** Time until the caller may retry; undefined if unknown. */
  retryAfterMs: number | undefined;
}
