import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {RowProposal} from '@wisterialadder/core/administration/row_proposal.js';
import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import type {ApiContext} from './api_context.js';
import type {ApiError} from './api_error.js';
import {EDIT_BODY, EDIT_ID, ROW_BODY} from './edit_body.js';
import {sendEditAnswer} from './send_edit_answer.js';
import {parseEtag} from './etag.js';
import {authorizedRoute} from './authorized_route.js';
import type {AuthorizedRequest} from './authorized_request.js';
import {readJson} from './read_json.js';
import {sendError} from './send_error.js';

const ROW_PATH = /^\/v1\/rows\/(?<type>[^/]+)\/(?<name>[^/]+)$/;

/** Routes that change rows. */
export function editRoutes(ctx: ApiContext): HttpRoute[] {
  async function postEdit({
    req,
    res,
    operator,
  }: AuthorizedRequest): Promise<void> {
    const body = await readJson(ctx, req, res, EDIT_BODY);
    if (!body.ok) return sendError(res, body.val);
    const {id, changes} = body.val;
    const answer = await ctx.edits.submit({
      editId: id ?? randomUUID(),
      author: operator.name,
      proposals: changes.map(change => ({
        ...change,
        base: change.base,
        source: 'json',
      })),
    });
    sendEditAnswer(res, answer);
  }

  async function putRow(request: AuthorizedRequest): Promise<void> {
    const {req, res, match} = request;
    const body = await readJson(ctx, req, res, ROW_BODY);
    if (!body.ok) return sendError(res, body.val);
    const values = {...body.val};
    for (const key of ['type', 'name'] as const) {
      if (values[key] === match[key]) delete values[key];
    }
    return changeRow(request, values);
  }

  async function changeRow(
    {req, res, match, operator}: AuthorizedRequest,
    values: RowProposal['values'],
  ): Promise<void> {
    const base = baseVersion(req);
    if (!base.ok) return sendError(res, base.val);
    const editId = requestedEditId(req);
    if (!editId.ok) return sendError(res, editId.val);
    const row: RowProposal = {
      type: match['type'] ?? '',
      name: match['name'] ?? '',
      base: base.val,
      values,
      source: 'json',
    };
    const answer = await ctx.edits.submit({
      editId: editId.val,
      author: operator.name,
      proposals: [row],
    });
    sendEditAnswer(res, answer, 412);
  }

  return [
    authorizedRoute(ctx, 'edit', 'POST', /^\/v1\/edits$/, postEdit),
    authorizedRoute(ctx, 'edit', 'PUT', ROW_PATH, putRow),
    authorizedRoute(ctx, 'edit', 'DELETE', ROW_PATH, request =>
      changeRow(request, null),
    ),
  ];
}

/** Id of a one-row edit: the header `wl-edit-id`, or a generated one. */
export function requestedEditId(
  req: IncomingMessage,
): Result<string, ApiError> {
  const header = req.headers['wl-edit-id'];
  if (header === undefined) return Ok(randomUUID());
  const parsed = EDIT_ID.safeParse(header);
  if (parsed.success) return Ok(parsed.data);
  const message =
    'wl-edit-id is not an edit id: letters, digits, ".", "_", "-"';
  return Err({code: 'bad_request', message});
}

// Base version 0 means that the row must not exist yet.
function baseVersion(req: IncomingMessage): Result<number, ApiError> {
  const ifMatch = req.headers['if-match'];
  if (ifMatch === undefined && req.headers['if-none-match'] === '*') {
    return Ok(0);
  }
  const version = parseEtag(ifMatch);
  if (version !== undefined) return Ok(version);
  const message =
    'send the ETag of the row as "if-match", or "if-none-match: *" to add it';
  const code = ifMatch === undefined ? 'precondition_required' : 'bad_request';
  return Err({code, message});
}
