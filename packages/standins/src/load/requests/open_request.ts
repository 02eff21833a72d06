import type {AnswerVerifier} from '../answers/answer_verifier.js';
import type {PlannedRequest} from './planned_request.js';

/** A request in flight, without its prompt text. */
export interface OpenRequest {
  request: PlannedRequest;
  sentMs: number;
  /** Undefined until the first part. */
  firstPartMs: number | undefined;
  /** Undefined for services. */
  verifier: AnswerVerifier | undefined;
  /** SHA-256 of the body; empty for chat. */
  bodyHash: string;
}
