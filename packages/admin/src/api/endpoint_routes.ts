import type {DesiredState} from '@wisterialadder/core/types/desired_state.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {ApiContext} from './api_context.js';
import {requestedEditId} from './edit_routes.js';
import {sendEditAnswer} from './send_edit_answer.js';
import {authorizedRoute} from './authorized_route.js';
import {sendError} from './send_error.js';

const DESIRED_STATES = new Map<string, DesiredState>([
  ['start', 'serving'],
  ['drain', 'draining'],
  ['stop', 'stopped'],
]);

/** Route that starts, drains or stops an endpoint, as an edit of one column. */
export function endpointRoutes(ctx: ApiContext): HttpRoute[] {
  return [
    authorizedRoute(
      ctx,
      'operate',
      'POST',
      /^\/v1\/endpoints\/(?<name>[^/]+)\/(?<action>start|drain|stop)$/,
      async ({req, res, match, operator}) => {
        const editId = requestedEditId(req);
        if (!editId.ok) return sendError(res, editId.val);
        const found = ctx.node.table.get(`endpoint/${match['name']}`);
        if (found?.row.type !== 'endpoint') {
          const message = `endpoint ${match['name']} does not exist`;
          return sendError(res, {code: 'unknown_row', message});
        }
        const {type, name, ...values} = found.row;
        const desired = DESIRED_STATES.get(match['action'] ?? '');
        if (values.desired === desired) {
          return sendJson(res, 200, {edit: null, desired});
        }
        const answer = await ctx.edits.submit({
          editId: editId.val,
          author: operator.name,
          proposals: [
            {
              type,
              name,
              base: found.version,
              values: {...values, desired},
              source: 'json',
            },
          ],
        });
        sendEditAnswer(res, answer);
      },
    ),
  ];
}
