import type {Work} from '../fleet/work.js';

/** Work that other prefills on its engine delay. Times in milliseconds. */
export interface AffectedWork {
  work: Work;
  /** Value of the request, see `requestValue`. */
  value: number;
  /** Time until its next piece, if nothing is added. */
  expectedMs: number;
  /** Prefill time that can be added before the work is delayed. */
  headroomMs: number;
  /**
   * Time within which its next piece is due: the longest allowed gap while it
   * decodes, the rest of its target for the first piece while it prefills.
   */
  limitMs: number;
  /** Time until its caller times out. */
  callerTimeoutMs: number;
}
