import type {Work} from '../fleet/work.js';

/** Work that is delayed by whatever else its engine reads. Milliseconds. */
export interface AffectedWork {
  work: Work;
  /** Worth of the request, see `requestValue`. */
  value: number;
  /** Time until its next piece, if nothing is added. */
  expectedMs: number;
  /** Reading that can be added before it is delayed. */
  headroomMs: number;
  /**
   * Time that its next piece may take: the longest pause of a stream that is
   * written, the rest until the first piece is due for one that is read.
   */
  limitMs: number;
  /** Time after which its caller gives up. */
  callerTimeoutMs: number;
}
