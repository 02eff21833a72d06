import type {RefusalCode} from '../sessions/refusal_code.js';

/** States that a request was not run. */
export interface Refuse {
  kind: 'refuse';
  callId: string;
  code: RefusalCode;
}
