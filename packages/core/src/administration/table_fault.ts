import type {RowKey} from '../types/row_key.js';
import type {FaultCode} from './fault_code.js';

/** Something that is wrong in a table as a whole. */
export interface TableFault {
  /** Row in which the fault shows. */
  key: RowKey;
  column: string;
  code: FaultCode;
  problem: string;
  /** Rows whose change or removal can have caused it. */
  causes: RowKey[];
}
