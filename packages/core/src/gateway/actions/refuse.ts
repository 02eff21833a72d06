import type {Refusal} from '../../forwarding/refusal.js';

/** Answers a request with a failure of this process's own. */
export interface Refuse {
  kind: 'refuse';
  reqId: string;
  refusal: Refusal;
  /** When the caller may come back; undefined if that is not known. */
  retryAfterMs: number | undefined;
}
