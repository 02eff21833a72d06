import type {FaultCode} from './fault_code.js';

/** One fault of an edit. */
export interface EditFault {
  /** Position of the row in the edit, from 1. */
  row: number;
  /** `TYPE/NAME` as the edit gives it. */
  key: string;
  /** Column at fault; empty if the whole row is. */
  column: string;
  code: FaultCode;
  /** What is wrong and what is allowed. */
  problem: string;
}
