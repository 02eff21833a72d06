import type {ServerResponse} from 'node:http';
import type {EditAnswer} from '@wisterialadder/core/administration/edit_answer.js';
import type {EditStatus} from '@wisterialadder/core/administration/edit_status.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {ApiError} from './api_error.js';
import {formatEtag} from './etag.js';
import {sendError} from './send_error.js';

/** Sends the result of an edit; `conflictStatus` is 412 after `If-Match`. */
export function sendEditAnswer(
  res: ServerResponse,
  answer: EditAnswer,
  conflictStatus: 409 | 412 = 409,
): void {
  if (answer.kind === 'refused') {
    sendError(res, refusalError(answer));
    return;
  }
  const {status} = answer;
  const edit = status;
  switch (status.state) {
    case 'accepted':
      return sendJson(res, 200, {edit}, {etag: formatEtag(status.version)});
    case 'pending':
      return sendJson(
        res,
        202,
        {edit},
        {
          location: `/v1/edits/${status.editId}`,
        },
      );
    case 'conflict':
      return sendError(res, {
        code: 'conflict',
        message: `nothing was changed: ${describeConflicts(status)}`,
        details: {edit},
        status: conflictStatus,
      });
    case 'not_applied':
      return sendError(res, {
        code: 'not_applied',
        message:
          'nothing was changed: the log refused the edit; send it again later',
        details: {edit},
      });
  }
}

function describeConflicts(status: EditStatus): string {
  return status.conflicts
    .map(({key, version, author, editId}) => {
      const winner = author === '' ? 'somebody' : `${author} (edit ${editId})`;
      const what = version === 0 ? 'removed it' : `left it at ${version}`;
      return `${key} was changed first, ${winner} ${what}`;
    })
    .join('; ');
}

function refusalError(
  answer: Extract<EditAnswer, {kind: 'refused'}>,
): ApiError {
  switch (answer.reason) {
    case 'invalid':
      return {
        code: 'invalid_edit',
        message: 'nothing was sent: correct the faults and send all rows again',
        details: {faults: answer.faults},
      };
    case 'edit_id_reused':
      return {
        code: 'edit_id_reused',
        message: 'the id belongs to an edit of other rows; choose a new one',
      };
    case 'too_many_edits':
      return {
        code: 'too_many_edits',
        message: 'too many edits wait for a verdict; send it again later',
      };
    case 'table_not_loaded':
      return {
        code: 'table_not_loaded',
        message: 'the table has not been read from the log yet; retry later',
      };
  }
}
