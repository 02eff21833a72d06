/** Stable machine-readable code of an error response. */
export type ApiErrorCode =
  | 'bad_request'
  | 'body_too_large'
  | 'body_too_slow'
  | 'conflict'
  | 'edit_id_reused'
  | 'invalid_edit'
  | 'not_applied'
  | 'not_authenticated'
  | 'not_permitted'
  | 'overloaded'
  | 'precondition_required'
  | 'table_not_loaded'
  | 'too_many_edits'
  | 'unknown_edit'
  | 'unknown_row';
