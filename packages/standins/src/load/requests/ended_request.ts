import type {FinalKind} from '../answers/final_kind.js';
import type {PlannedRequest} from './planned_request.js';

/** A request that has ended, for the statistics. */
export interface EndedRequest {
  request: PlannedRequest;
  kind: FinalKind;
  code: string;
  /** Time to first token; undefined without a token or for services. */
  firstTokenMs: number | undefined;
  totalMs: number;
}
