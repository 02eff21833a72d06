import {performance} from 'node:perf_hooks';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {query} from '@wisterialadder/runtime/http/query.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {CallTable} from '../../shared/call_table.js';
import {nameRequest} from '../../shared/name_request.js';
import {postRoute} from '../../shared/post_route.js';
import type {EngineNode} from '../engine_node.js';
import type {EngineEvent} from '../events/engine_event.js';
import {ENGINE_FAULTS_SCHEMA} from './faults_schema.js';
import {ORDER_SCHEMA} from './order_schema.js';
import {readChatRequest} from './read_chat_request.js';
import {
  EXPORT_SCHEMA,
  IMPORT_SCHEMA,
  RESERVATION_SCHEMA,
} from './session_schemas.js';

const FULL_LISTING = -1;

/** HTTP routes: commands become events; reads are answered directly. */
export function engineRoutes(
  node: EngineNode,
  calls: CallTable,
  push: (event: EngineEvent) => void,
): HttpRoute[] {
  return [
    {
      method: 'POST',
      path: /^\/v1\/chat\/completions$/,
      handler: async (req, res) => {
        nameRequest(req, res);
        const chat = await readChatRequest(req);
        if (!chat.ok) {
          sendJson(res, 400, {error: {code: 'bad_request', message: chat.val}});
          return;
        }
        const callId = calls.open(res, closedCallId =>
          push({kind: 'client_gone', callId: closedCallId}),
        );
        push({...chat.val, callId});
      },
    },
    {
      method: 'GET',
      path: /^\/wl\/load$/,
      handler: (_req, res) =>
        sendJson(res, 200, node.report(performance.now())),
    },
    {
      method: 'GET',
      path: /^\/wl\/cache-events$/,
      handler: (req, res) => {
        const after = Number(query(req).get('after') ?? FULL_LISTING);
        sendJson(res, 200, node.cacheEvents(performance.now(), after));
      },
    },
    {
      method: 'DELETE',
      path: /^\/wl\/sessions\/(?<sessionId>[^/]+)$/,
      handler: (_req, res, {sessionId = ''}) =>
        push({kind: 'session_deleted', callId: calls.open(res), sessionId}),
    },
    {
      method: 'POST',
      path: /^\/wl\/reservations\/(?<sessionId>[^/]+)\/use$/,
      handler: (_req, res, {sessionId = ''}) =>
        push({kind: 'reservation_used', callId: calls.open(res), sessionId}),
    },
    postRoute(
      calls,
      /^\/wl\/reservations$/,
      RESERVATION_SCHEMA,
      (callId, body) => push({kind: 'reservation_asked', callId, ...body}),
    ),
    postRoute(calls, /^\/wl\/exports$/, EXPORT_SCHEMA, (callId, body) =>
      push({kind: 'export_asked', callId, ...body}),
    ),
    postRoute(calls, /^\/wl\/imports$/, IMPORT_SCHEMA, (callId, body) =>
      push({kind: 'import_asked', callId, ...body}),
    ),
    postRoute(calls, /^\/wl\/orders$/, ORDER_SCHEMA, (callId, body) =>
      push({kind: 'order_received', callId, ...body}),
    ),
    postRoute(calls, /^\/control$/, ENGINE_FAULTS_SCHEMA, (callId, faults) =>
      push({kind: 'control_received', callId, faults}),
    ),
  ];
}
