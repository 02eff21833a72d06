import type {EditFault} from './edit_fault.js';

/** A fault of one row, without its position in the edit. */
export type RowFault = Pick<EditFault, 'column' | 'code' | 'problem'>;
