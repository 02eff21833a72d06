import type {EditRefusal} from './edit_refusal.js';
import type {EditFault} from './edit_fault.js';
import type {EditStatus} from './edit_status.js';

/** Answer to a submitted edit. */
export type EditAnswer =
  | {kind: 'status'; status: EditStatus}
  | {kind: 'refused'; reason: EditRefusal; faults: EditFault[]};
