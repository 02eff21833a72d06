import type {EditVerdict} from '@wisterialadder/core/table/edit_verdict.js';
import type {RowKey} from '@wisterialadder/core/types/row_key.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {query} from '@wisterialadder/runtime/http/query.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {ApiContext} from './api_context.js';
import {formatEtag} from './etag.js';
import {authorizedRoute} from './authorized_route.js';
import {rowView} from './row_view.js';
import {sendError} from './send_error.js';

const DEFAULT_HISTORY_EDITS = 100;

/** Routes that return rows, edits, the history and the status. */
export function readRoutes(ctx: ApiContext): HttpRoute[] {
  const {node} = ctx;
  return [
    authorizedRoute(ctx, 'read', 'GET', /^\/v1\/table$/, ({res}) => {
      const rows = node.table.rows().map(rowView);
      sendJson(res, 200, {offset: node.table.next(), rows});
    }),
    authorizedRoute(
      ctx,
      'read',
      'GET',
      /^\/v1\/rows\/(?<type>[^/]+)\/(?<name>[^/]+)$/,
      ({res, match}) => {
        const key = `${match['type']}/${match['name']}` as RowKey;
        const row = node.table.get(key);
        if (row)
          sendJson(res, 200, rowView(row), {etag: formatEtag(row.version)});
        else {
          const message = `row ${key} does not exist`;
          sendError(res, {code: 'unknown_row', message});
        }
      },
    ),
    authorizedRoute(
      ctx,
      'read',
      'GET',
      /^\/v1\/edits\/(?<id>[^/]+)$/,
      ({res, match}) => {
        const edit = node.editStatus(match['id'] ?? '');
        if (edit) return sendJson(res, 200, {edit});
        const message =
          'no edit with this id was read from the log or is under way; ' +
          'sending it again with the same id is safe';
        sendError(res, {code: 'unknown_edit', message});
      },
    ),
    authorizedRoute(ctx, 'read', 'GET', /^\/v1\/history$/, ({req, res}) => {
      const params = query(req);
      const limit = Number(params.get('limit') ?? DEFAULT_HISTORY_EDITS);
      if (!Number.isInteger(limit) || limit < 1) {
        const message = 'limit is not a whole number above 0';
        return sendError(res, {code: 'bad_request', message});
      }
      const row = params.get('row') as RowKey | null;
      const edits = node.table
        .verdicts()
        .filter(verdict => row === null || verdict.keys.includes(row))
        .slice(-limit)
        .reverse()
        .map(historyEntry);
      sendJson(res, 200, {edits});
    }),
    authorizedRoute(ctx, 'read', 'GET', /^\/v1\/status$/, async ({res}) => {
      const routers = await ctx.probeRouters();
      sendJson(res, 200, {table: node.position(), routers});
    }),
  ];
}

function historyEntry(verdict: EditVerdict): Record<string, unknown> {
  const {editId, author, wallMs, offset, accepted, keys, conflicts} = verdict;
  return {
    editId,
    author,
    at: new Date(wallMs).toISOString(),
    offset,
    state: accepted ? 'accepted' : 'conflict',
    keys,
    conflicts,
  };
}
