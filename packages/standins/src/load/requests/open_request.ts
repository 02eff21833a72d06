import type {AnswerCheck} from '../answers/answer_check.js';
import type {PlannedRequest} from './planned_request.js';

/** A request that was sent and has not ended; without its prompt text. */
export interface OpenRequest {
  request: PlannedRequest;
  sentMs: number;
  /** Undefined until the first part. */
  firstPartMs: number | undefined;
  /** Undefined for services. */
  check: AnswerCheck | undefined;
  /** SHA-256 of the body; empty for chat. */
  bodyHash: string;
}
