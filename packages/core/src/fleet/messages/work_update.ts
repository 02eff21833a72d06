import type {WorkChanges} from './work_changes.js';

/** What changed in the sender's work since its last message. */
export interface WorkUpdate extends WorkChanges {
  kind: 'work_update';
  /** Whether the receiver is asked to pass it on to all others. */
  passOn: boolean;
}
