import type {WorkChanges} from './work_changes.js';

/** Changes in the sender's work since its last message. */
export interface WorkUpdate extends WorkChanges {
  kind: 'work_update';
  /** Whether the receiver passes it on to all others. */
  passOn: boolean;
}
