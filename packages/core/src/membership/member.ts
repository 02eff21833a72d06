import type {MemberUpdate} from '../router/messages/member_update.js';

/** Another router as this one knows it. */
export interface Member {
  update: MemberUpdate;
  /**
   * Monotonic time at which a suspect becomes dead or a dead member is
   * forgotten; unused for members that are alive.
   */
  dueMs: number;
  /** Whether this router's own probe raised the suspicion. */
  suspectedHere: boolean;
  /** Monotonic time of the last probe beyond the schedule. */
  checkedMs: number;
  /** Newest table offset that the member has announced. */
  tableNext: number;
}
