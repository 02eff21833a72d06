import type {AnswerHead} from './answer_head.js';
import type {AnswerVerdict} from './answer_verdict.js';

/** Head of an answer, as far as it matters to the attempt. */
export interface ParsedAnswer {
  verdict: AnswerVerdict;
  head: AnswerHead;
  /** Whether it names the request to which it belongs. */
  echoed: boolean;
  /** Time that the endpoint keeps the connection; undefined if unsaid. */
  keepAliveMs: number | undefined;
  /** Endpoint that is at fault, as the answer names it; empty if none. */
  atFault: string;
}
