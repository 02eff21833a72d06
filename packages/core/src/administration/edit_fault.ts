/** Kind of fault that keeps an edit from being sent. */
export type FaultCode =
  | 'contradiction'
  | 'duplicate'
  | 'missing'
  | 'not_allowed'
  | 'orphan'
  | 'unknown_column'
  | 'unknown_name'
  | 'unknown_type';

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
