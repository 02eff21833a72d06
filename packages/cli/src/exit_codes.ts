import type {ExitReason} from './exit_reason.js';

/** Exit status of each reason; a documented interface. */
export const EXIT_CODES: Record<ExitReason, number> = {
  ok: 0,
  differs: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  pending: 5,
  not_applied: 6,
  denied: 7,
  not_found: 8,
  unreachable: 9,
  failed: 10,
};

/** Descriptions of the exit statuses in the help text. */
export const EXIT_MEANINGS: Record<ExitReason, string> = {
  ok: 'done',
  differs: 'table diff found differences',
  usage: 'wrong command line',
  invalid: 'faults in a table or settings file; nothing was sent',
  conflict: 'somebody else changed a row first; nothing was changed',
  pending: 'verdict not known yet; ask with "wlctl table edit ID"',
  not_applied: 'the log refused the edit; nothing was changed',
  denied: 'key missing, unknown or without permission',
  not_found: 'row, edit or file does not exist',
  unreachable: 'no answer from wl-admin',
  failed: 'any other failure',
};
