import type {RowChange} from '@wisterialadder/core/table/row_change.js';
import type {AdminClient} from '../client/admin_client.js';
import {EDIT_RESPONSE} from '../client/responses.js';
import {editChange} from '../client/edit_change.js';
import {success, failure, type CommandResult} from './command_result.js';
import {editReport} from './edit_report.js';

/** Sends changes as one edit and reports its state. */
export async function submitChanges(
  client: AdminClient,
  id: string,
  changes: readonly RowChange[],
): Promise<CommandResult> {
  if (changes.length === 0) {
    const notes = ['nothing to change'];
    return success({columns: [], rows: [], notes, json: {edit: null}});
  }
  const body = {id, changes: changes.map(editChange)};
  const response = await client.post('/v1/edits', body, EDIT_RESPONSE);
  if (response.ok) return editReport(response.val.edit);
  if (response.val.exit !== 'unreachable') return failure(response.val);
  const hint = `${response.val.hint} Its id is ${id}.`;
  return failure({...response.val, hint});
}
