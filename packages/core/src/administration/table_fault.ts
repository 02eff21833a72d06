import type {RowKey} from '../types/row_key.js';
import type {FaultCode} from './fault_code.js';

/** A fault of the table as a whole, such as a missing reference. */
export interface TableFault {
  /** Row in which the fault occurs. */
  key: RowKey;
  column: string;
  code: FaultCode;
  problem: string;
  /** Rows whose change or removal can have caused it. */
  causes: RowKey[];
}
