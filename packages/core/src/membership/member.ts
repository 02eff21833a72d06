import type {MemberUpdate} from '../router/messages/member_update.js';

/** This router's view of another router. */
export interface Member {
  update: MemberUpdate;
  /**
   * Monotonic time at which a suspect is declared dead or a dead member is
   * removed; unused for members that are alive.
   */
  dueMs: number;
  /** Whether this router's own probe raised the suspicion. */
  suspectedHere: boolean;
  /** Monotonic time of the last probe outside of the schedule. */
  checkedMs: number;
  /** Newest table offset that the member has announced. */
  tableNext: number;
}
