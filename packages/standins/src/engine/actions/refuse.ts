import type {RefusalCode} from '../sessions/refusal_code.js';

/** Rejects a request with 503 and states that it was not run. */
export interface Refuse {
  kind: 'refuse';
  callId: string;
  code: RefusalCode;
}
