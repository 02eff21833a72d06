import type {ExitReason} from '../exit_reason.js';

/** Exit reason of each error code of the API; other codes exit as `failed`. */
export const ERROR_EXITS: Record<string, ExitReason> = {
  bad_request: 'usage',
  conflict: 'conflict',
  edit_id_reused: 'conflict',
  invalid_edit: 'invalid',
  not_applied: 'not_applied',
  not_authenticated: 'denied',
  not_permitted: 'denied',
  table_not_loaded: 'not_applied',
  too_many_edits: 'not_applied',
  unknown_edit: 'not_found',
  unknown_row: 'not_found',
};
