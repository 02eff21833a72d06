import type {ApiErrorCode} from './api_error_code.js';

/** Default HTTP status of each error code. */
export const ERROR_STATUSES: Record<ApiErrorCode, number> = {
  bad_request: 400,
  not_authenticated: 401,
  not_permitted: 403,
  unknown_edit: 404,
  unknown_row: 404,
  body_too_slow: 408,
  conflict: 409,
  edit_id_reused: 409,
  body_too_large: 413,
  invalid_edit: 422,
  precondition_required: 428,
  too_many_edits: 429,
  not_applied: 503,
  overloaded: 503,
  table_not_loaded: 503,
};
