import type {WorkNotice} from './work_notice.js';

/** What changed in the work of one gateway. */
export interface WorkChanges {
  started: WorkNotice[];
  /** Work whose first piece has arrived. */
  writing: number[];
  ended: number[];
}
