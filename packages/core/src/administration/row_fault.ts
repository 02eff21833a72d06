import type {EditFault} from './edit_fault.js';

/** A fault of one row, before its place in the edit is known. */
export type RowFault = Pick<EditFault, 'column' | 'code' | 'problem'>;
