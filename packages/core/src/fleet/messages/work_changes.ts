import type {WorkNotice} from './work_notice.js';

/** Changes in the work of one gateway. */
export interface WorkChanges {
  started: WorkNotice[];
  /** Ids of work whose first piece has arrived. */
  writing: number[];
  ended: number[];
}
