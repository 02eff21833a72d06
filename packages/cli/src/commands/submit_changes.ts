import type {RowChange} from '@wisterialadder/core/table/row_change.js';
import type {AdminClient} from '../client/admin_client.js';
import {EDIT_ANSWER} from '../client/answers.js';
import {editChange} from '../client/edit_change.js';
import {done, failure, type CommandResult} from './command_result.js';
import {editReport} from './edit_report.js';

/** Sends changes as one edit and reports its state. */
export async function submitChanges(
  client: AdminClient,
  id: string,
  changes: readonly RowChange[],
): Promise<CommandResult> {
  if (changes.length === 0) {
    const notes = ['nothing to change'];
    return done({columns: [], rows: [], notes, json: {edit: null}});
  }
  const body = {id, changes: changes.map(editChange)};
  const answer = await client.post('/v1/edits', body, EDIT_ANSWER);
  if (answer.ok) return editReport(answer.val.edit);
  if (answer.val.exit !== 'unreachable') return failure(answer.val);
  const hint = `${answer.val.hint} Its id is ${id}.`;
  return failure({...answer.val, hint});
}
