import type {WorkNotice} from './work_notice.js';

/** What changed in the sender's work since its last message. */
export interface WorkUpdate {
  kind: 'work_update';
  started: WorkNotice[];
  /** Work whose first piece has arrived. */
  writing: number[];
  ended: number[];
}
