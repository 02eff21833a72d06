import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {query} from '@wisterialadder/runtime/http/query.js';
import {readBody} from '@wisterialadder/runtime/http/read_body.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {CallTable} from '../shared/call_table.js';
import {postRoute} from '../shared/post_route.js';
import type {PlatformEvent} from './platform_event.js';
import {PLATFORM_FAULTS_SCHEMA, VMS_SCHEMA} from './platform_schemas.js';

const MAX_WAIT_MS = 60_000;
const STREAM_PATH = /^\/log\/(?<stream>[a-z0-9-]+)$/;

/** HTTP routes: each request becomes an event. */
export function platformRoutes(
  calls: CallTable,
  maxRecordBytes: number,
  push: (event: PlatformEvent) => void,
): HttpRoute[] {
  const onClientGone = (callId: string): void =>
    push({kind: 'client_gone', callId});

  return [
    {
      method: 'POST',
      path: STREAM_PATH,
      handler: async (req, res, {stream = ''}) => {
        const body = await readBody(req, maxRecordBytes);
        if (!body.ok) {
          sendJson(res, 413, {error: body.val});
          return;
        }
        const data = body.val.toString('utf8');
        push({kind: 'append_asked', callId: calls.open(res), stream, data});
      },
    },
    {
      method: 'GET',
      path: STREAM_PATH,
      handler: (req, res, {stream = ''}) => {
        const from = Number(query(req).get('from') ?? 0);
        const waitMs = Number(query(req).get('wait_ms') ?? 0);
        if (!Number.isInteger(from) || from < 0 || !(waitMs >= 0)) {
          sendJson(res, 400, {error: 'bad_request'});
          return;
        }
        push({
          kind: 'read_asked',
          callId: calls.open(res, onClientGone),
          stream,
          from,
          waitMs: Math.min(MAX_WAIT_MS, waitMs),
        });
      },
    },
    {
      method: 'GET',
      path: /^\/vms$/,
      handler: (_req, res) =>
        push({kind: 'vms_asked', callId: calls.open(res)}),
    },
    {
      method: 'POST',
      path: /^\/weights\/(?<model>[^/]+)$/,
      handler: (_req, res, {model = ''}) =>
        push({
          kind: 'weights_asked',
          callId: calls.open(res),
          model: decodeURIComponent(model),
        }),
    },
    postRoute(calls, /^\/vms$/, VMS_SCHEMA, (callId, {vms}) =>
      push({kind: 'vms_changed', callId, vms}),
    ),
    postRoute(calls, /^\/control$/, PLATFORM_FAULTS_SCHEMA, (callId, faults) =>
      push({kind: 'control_received', callId, faults}),
    ),
  ];
}
