import type {EditFault} from './edit_fault.js';
import type {EditStatus} from './edit_status.js';

/** Why an edit was refused without being sent. */
export type EditRefusal =
  'edit_id_reused' | 'invalid' | 'table_not_loaded' | 'too_many_edits';

/** Answer to a submitted edit. */
export type EditAnswer =
  | {kind: 'status'; status: EditStatus}
  | {kind: 'refused'; reason: EditRefusal; faults: EditFault[]};
