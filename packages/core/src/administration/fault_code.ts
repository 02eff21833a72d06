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
