import type {z} from 'zod';
import type {EDIT_RESPONSE} from '../client/responses.js';
import type {ExitReason} from '../exit_reason.js';
import {success, type CommandResult} from './command_result.js';

type Edit = z.infer<typeof EDIT_RESPONSE>['edit'];

/** Reports the state of an edit; null means that nothing had to change. */
export function editReport(edit: Edit): CommandResult {
  const json = {edit};
  if (!edit) {
    const notes = ['already in that state'];
    return success({columns: [], rows: [], notes, json});
  }
  const {editId, state, keys, version} = edit;
  const exits: Record<typeof state, ExitReason> = {
    accepted: 'ok',
    conflict: 'conflict',
    not_applied: 'not_applied',
    pending: 'pending',
  };
  const at = state === 'accepted' ? ` at version ${version}` : '';
  const notes = [`edit ${editId}: ${state}${at}, ${keys.length} row(s)`];
  if (state === 'pending') {
    notes.push(`ask again with: wlctl table edit ${editId}`);
  }
  return success({columns: [], rows: [], notes, json}, exits[state]);
}
