import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {readBody} from '@wisterialadder/runtime/http/read_body.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {CallTable} from '../shared/call_table.js';
import {header} from '../shared/header.js';
import {nameRequest} from '../shared/name_request.js';
import {postRoute} from '../shared/post_route.js';
import type {ServiceEvent} from './service_event.js';
import type {ServiceNode} from './service_node.js';

const MAX_BODY_BYTES = 16 * 1_024 * 1_024;

const FAULTS_SCHEMA = z
  .strictObject({
    neverAnswer: z.number().min(0).max(1),
    dropAnswer: z.number().min(0).max(1),
    slowFactor: z.number().positive(),
    leaving: z.boolean(),
  })
  .partial();

/** HTTP routes: calls become events; reads are answered directly. */
export function serviceRoutes(
  node: ServiceNode,
  calls: CallTable,
  push: (event: ServiceEvent) => void,
): HttpRoute[] {
  return [
    {
      method: 'POST',
      path: /^\/call\/(?<action>[^/]+)$/,
      handler: async (req, res, {action = ''}) => {
        nameRequest(req, res);
        const body = await readBody(req, MAX_BODY_BYTES);
        if (!body.ok) {
          sendJson(res, 400, {error: {code: 'bad_request'}});
          return;
        }
        push({
          kind: 'call_arrived',
          callId: calls.open(res, callId =>
            push({kind: 'client_gone', callId}),
          ),
          action,
          reqId: header(req, 'wl-request-id'),
          idempotencyKey: header(req, 'idempotency-key'),
          bodyHash: createHash('sha256').update(body.val).digest('hex'),
        });
      },
    },
    {
      method: 'GET',
      path: /^\/executions$/,
      handler: (_req, res) => sendJson(res, 200, node.executions()),
    },
    {
      method: 'GET',
      path: /^\/wl\/load$/,
      handler: (_req, res) => sendJson(res, 200, node.report()),
    },
    postRoute(calls, /^\/control$/, FAULTS_SCHEMA, (callId, faults) =>
      push({kind: 'control_received', callId, faults}),
    ),
  ];
}
