/** Kind of fault for which an edit is refused. */
export type FaultCode =
  | 'contradiction'
  | 'duplicate'
  | 'missing'
  | 'not_allowed'
  | 'orphan'
  | 'unknown_column'
  | 'unknown_name'
  | 'unknown_type';
